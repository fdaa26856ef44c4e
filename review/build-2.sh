#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
export CARGO_TARGET_DIR="$PWD/target/review-2"
cargo build --release --offline --locked --manifest-path review/stand-in-2/Cargo.toml
