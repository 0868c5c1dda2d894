#!/usr/bin/env bash
# Measures the HTTP request rate of the bare loop and, if an address is given,
# that of the address in the same run.
# Usage: tools/bench_loop.sh BUILD_FOLDER [ADDRESS PATH]
set -euo pipefail
programs=$1/bin
ready=$(mktemp)
"$programs/bench_hello" --ready-file="$ready" &
server=$!
trap 'kill $server; wait $server || true; rm -f "$ready"' EXIT
until [ -s "$ready" ]; do sleep 0.05; done
port=$(sed 's/[^0-9]//g' "$ready")
echo "bare loop: $("$programs/bench_client" "127.0.0.1:$port")"
if [ $# -ge 3 ]; then
  echo "$2$3: $("$programs/bench_client" --path="$3" "$2")"
fi
