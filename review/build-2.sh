#!/bin/sh
# Builds the stand-ins and the clients of the second review's scripts, with the toolchain alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2021 -O -o target/review-2/cases review/standin-2/main.rs
