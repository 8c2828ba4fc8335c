#!/usr/bin/env bash
# Builds the programs of the review's scripts with rustc alone, into target/review. The node is built by the command in
# deploy/system.toml; none of the project's own stand-ins is started.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "target/review/case-$number" "$case"
done
