#!/usr/bin/env bash
# Builds the programs that the cases start, stand-ins included, into target/review. The gateway is
# built by the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/common "$source" -o "target/review/case-$number"
done
