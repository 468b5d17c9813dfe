#!/bin/sh
# Builds the stand-ins and the clients of the second review's scripts, with the toolchain alone. Case 5 plays one of the
# first review's stand-ins.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/standin-2/main.rs
rustc --edition 2021 -O -o target/review-2/first review/standin/main.rs
