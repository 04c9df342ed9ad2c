#!/bin/sh
# Builds the stand-ins of this review into target/review-2, without a network.
set -eu
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline --target-dir ../../target/review-2
