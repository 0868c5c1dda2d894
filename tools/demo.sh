#!/usr/bin/env bash
# Runs the whole system on this machine: the stand-in for the platform, three
# data centres with two instances each, upstreams and callers. Publishes the
# example services, kills an instance, withdraws and restores a data centre, and
# prints a report.
# Usage: tools/demo.sh BUILD_FOLDER
set -euo pipefail
bin=$1/bin
source "$(dirname "$0")/cluster.sh"

echo "demo: starting the platform stand-in, the upstreams and six instances"
start_platform

# The upstreams listen on the addresses in the example service files.
mkdir "$run/services"
cp examples/tasadores/*.toml "$run/services"
upstream_count=0
for file in "$run"/services/*.toml; do
  service=$(sed -nE 's/^name = "([^"]+)".*/\1/p' "$file" | head -1)
  shards=$(awk '/^\[\[shard\]\]/{f=1} f && /^name = /{gsub(/"/,"",$3); print $3; f=0}' "$file" | paste -sd,)
  slots=$(sed -nE 's/^slots = ([0-9]+).*/\1/p' "$file")
  for address in $(grep -oE 'address = "[^"]+"' "$file" | cut -d'"' -f2); do
    launch "searcher-$upstream_count" "$bin/standin_upstream" --listen="$address" \
      --ready-file="$run/searcher-$upstream_count.json" --id-prefix="searcher-$upstream_count-" \
      --service="$service" --shards="$shards" --slots="$slots" --service-ms=4 \
      --straggler-share=0.01 --seed="$upstream_count"
    port_of "searcher-$upstream_count" control_port >/dev/null
    upstream_count=$((upstream_count + 1))
  done
done

i=0
for data_centre in oviedo santander bilbao oviedo santander bilbao; do
  i=$((i + 1))
  start_instance "entry-$i" "$data_centre"
  list_instance "entry-$i" "$data_centre"
done
admin=127.0.0.1:$(port_of entry-1 admin)
public_address=127.0.0.1:$(port_of entry-1 public)
tool=("$bin/ebonykeel" --admin="$admin" --node="$public_address")

wait_active "$admin" 6
"$bin/ebonykeel" check "$run"/services/*.toml
"${tool[@]}" publish "$run/services" --wait=20

echo "demo: load for 20 s; entry-5 is killed, bilbao is withdrawn and restored"
controls=$(for ((s = 0; s < upstream_count; s++)); do
  printf '"127.0.0.1:%s"\n' "$(port_of "searcher-$s" control_port)"
done | paste -sd,)
cat >"$run/experiment.toml" <<TOML
name = "demo"
seed = 7
nodes = ["$public_address", "127.0.0.1:$(port_of entry-2 public)", "127.0.0.1:$(port_of entry-3 public)"]
upstreams = [$controls]
duration_s = 20
rate = 100
callers = 20

[query]
group = "valuation-desk"

[filing]
share = 0.05
services = ["certificate-office"]
operation = "file"
TOML
"$bin/ebonykeel" load "$run/experiment.toml" >"$run/load.log" 2>&1 &
load=$!
pids+=("$load")
sleep 5
kill -KILL "${pid_of[entry-5]}"
sleep 4
"${tool[@]}" data-centre out bilbao
sleep 4
"${tool[@]}" data-centre in bilbao
status=0
wait "$load" || status=$?
cat "$run/load.log"
"${tool[@]}" report

echo "demo: graceful stop"
for name in entry-1 entry-2 entry-3 entry-4 entry-6; do
  kill -TERM "${pid_of[$name]}"
done
for name in entry-1 entry-2 entry-3 entry-4 entry-6; do
  code=0
  wait "${pid_of[$name]}" || code=$?
  if [ "$code" -ne 0 ]; then
    echo "demo: $name stopped with exit code $code"
    status=1
  fi
done
value() { sed -nE "s/.*$1.*/\\1/p" "$run/load.log" | head -1; }
requests=$(value 'requests ([0-9]+),')
filings=$(value 'filings: sent ([0-9]+),')
printf 'demo: %s queries, %s filings, whole %s, partial %s, doubled %s, p50 %s ms, p99 %s ms\n' \
  "$((requests - filings))" "$filings" "$(value 'whole ([0-9]+),')" "$(value 'partial ([0-9]+)')" \
  "$(value 'doubled ([0-9]+)')" "$(value 'p50 ([0-9.]+),')" "$(value 'p99 ([0-9.]+),')"
exit "$status"
