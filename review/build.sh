#!/usr/bin/env bash
# Builds what the cases start beside the router: the project's command `harestage`, and the stand-ins of the review.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p harestage-cli
mkdir -p target/review
rustc --edition 2024 -O review/stand-ins/main.rs -o target/review/review-case
