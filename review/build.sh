#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --offline --manifest-path review/stand_in/Cargo.toml
