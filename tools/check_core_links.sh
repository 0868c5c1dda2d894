#!/usr/bin/env bash
# Fails if a program that links the whole core depends on an I/O library.
# Usage: tools/check_core_links.sh PROGRAM
set -euo pipefail
needed=$(readelf -d "$1" | sed -nE 's/.*NEEDED.*\[(.*)\]/\1/p')
found=$(printf '%s\n' "$needed" | grep -E 'h2o|kj|capnp|libuv|libssl|libcrypto|glog|docopt' || true)
if [ -n "$found" ]; then
  echo "the core links I/O libraries:"
  echo "$found"
  exit 1
fi
echo "the core links no I/O libraries; it depends on: $(printf '%s' "$needed" | tr '\n' ' ')"
