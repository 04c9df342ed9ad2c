#!/bin/sh
# Builds the stand-ins of all cases; needs no network.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --offline --locked \
    --manifest-path review/standins/Cargo.toml
