#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
