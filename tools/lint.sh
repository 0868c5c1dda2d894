#!/usr/bin/env bash
# Checks the formatting with clang-format and the code with clang-tidy.
# Usage: tools/lint.sh BUILD_FOLDER JOBS
set -euo pipefail
build=$1
jobs=$2

git ls-files '*.h' '*.cc' ':!*.capnp.h' | xargs clang-format --dry-run --Werror

# Files that passed are cached under a hash of the file, of all headers and of
# .clang-tidy, so that the next run checks only files for which these changed.
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
