#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, with the compiler of the deploy build and its
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
