#!/usr/bin/env bash
# Fails if a program that links the whole core needs a library for input or
# output. Usage: tools/check_core_links.sh PROGRAM
set -euo pipefail
needed=$(readelf -d "$1" | sed -nE 's/.*NEEDED.*\[(.*)\]/\1/p')
found=$(printf '%s\n' "$needed" | grep -E 'h2o|kj|capnp|libuv|libssl|libcrypto|glog|docopt' || true)
if [ -n "$found" ]; then
  echo "the core links libraries for input or output:"
  echo "$found"
  exit 1
fi
echo "the core links none of them; it needs: $(printf '%s' "$needed" | tr '\n' ' ')"
