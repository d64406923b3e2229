#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the project's program: their stand-ins.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
for case in review/*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  [[ $number -ge 6 ]] || continue
  g++ -std=c++20 -O1 -pthread -o "target/review-2/$number" "$case"
done
