#!/usr/bin/env bash
# Builds the stand-ins and the cases; the project's programs are built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand_ins/Cargo.toml --target-dir target/review
