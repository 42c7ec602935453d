#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the programs of the deploy file: the command `harestage`, and their driver,
# which holds their stand-ins and needs nothing but the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p harestage-cli
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/driver review/stand-ins-2/main.rs
