#!/bin/bash
# Builds the stand-ins of cases 4 to 8: one program without dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/lib2/main.rs
