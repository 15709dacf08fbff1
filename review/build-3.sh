#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to 15 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/stand_ins_3 review/stand_ins_3/main.rs
