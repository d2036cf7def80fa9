#!/bin/sh
# Builds the stand-ins of the second review; run at the root of the repository.
set -e
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 review/standin-2/main.rs -o target/review-2/review-2
