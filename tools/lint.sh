#!/usr/bin/env bash
# Checks formatting with clang-format and the code with clang-tidy.
# Usage: tools/lint.sh BUILD_FOLDER JOBS
set -euo pipefail
build=$1
jobs=$2

git ls-files '*.h' '*.cc' ':!*.capnp.h' | xargs clang-format --dry-run --Werror

# A file that passed is remembered by the hash of its preprocessed input's
# sources, so that a second run checks only what changed.
cache=$build/lint-cache
mkdir -p "$cache"
export build cache
headers_hash=$(cat .clang-tidy $(git ls-files '*.h') | sha256sum | cut -c1-16)
export headers_hash
check_file() {
  local file=$1 key
  key=$(cat "$file" | sha256sum | cut -c1-32)-$headers_hash
  [ -e "$cache/$key" ] && return 0
  clang-tidy --quiet -p "$build" \
    --extra-arg=-Wno-unknown-warning-option "$file" 2>/dev/null && touch "$cache/$key"
}
export -f check_file
git ls-files 'packages/*.cc' 'platform/*.cc' | xargs -P "$jobs" -I{} bash -c 'check_file {}'
echo "lint: clean"
