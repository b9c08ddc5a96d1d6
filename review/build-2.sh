#!/bin/sh
# Builds the stand-ins of the second review. Needs rustc only; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standins-2/main.rs
