#!/usr/bin/env bash
# Builds what the scripts of this review start besides ebonykeeld, into
# target/review-2. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cc; do
  folder=$(basename "$(dirname "$source")")
  [ "$folder" -ge 6 ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers \
    -pthread "$source" -o "target/review-2/case-$folder"
done
