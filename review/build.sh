#!/usr/bin/env bash
# Builds the programs that the scripts of this folder start, into target/review/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/unanswered_call review/standins/unanswered_call.rs
