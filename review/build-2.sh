#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They need no crate.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/stand_ins_2/main.rs
