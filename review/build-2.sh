#!/bin/sh
# Builds the stand-ins of the second review, with the toolchain alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins-2 review/standins-2/main.rs
