#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts, under target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers \
    -pthread -I review/harness "$source" -o "target/review/case-$number"
done
