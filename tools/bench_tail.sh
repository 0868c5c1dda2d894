#!/usr/bin/env bash
# Measures tail latency in three cases of one run with the same arrivals: without
# stragglers, and with 1 straggler in 100 sub-requests, with and without hedges.
# Usage: tools/bench_tail.sh BUILD_FOLDER SHARDS RATE SECONDS
set -euo pipefail
bin=$1/bin
shards=$2
rate=$3
seconds=$4
source "$(dirname "$0")/cluster.sh"

data_centres=(oviedo santander bilbao)

# Starts two upstreams per shard and writes their service file.
start_upstreams() { # ARGUMENTS...
  local names i port
  names=$(seq -s, -f 's%g' 0 $((shards - 1)))
  launch searchers "$bin/standin_upstream" --count=$((2 * shards)) --id-prefix=u \
    --service=desk --shards="$names" --warm --service-ms=4 --spread=0.3 --seed=3 \
    --ready-file="$run/searchers.json" "$@"
  port_of searchers control_port >/dev/null
  mapfile -t ports < <(grep -oE '"port": *[0-9]+' "$run/searchers.json" | grep -oE '[0-9]+' | head -$((2 * shards)))
  mkdir -p "$run/services"
  {
    printf 'name = "desk"\ngroup = "desk"\nindex_version = 1\nslots = 2\nconnection_limit = 60\nconnect_time_ms = 1\ndeadline_ms = 1000\npreference = "coverage"\noperations = { idempotent = ["search"], once = [] }\n'
    for ((i = 0; i < shards; i++)); do
      printf '[[shard]]\nname = "s%d"\nreplicas = [\n' "$i"
      for replica in 0 1; do
        port=${ports[$((2 * i + replica))]}
        printf '  { id = "u%d", address = "127.0.0.1:%d", data_centre = "%s" },\n' \
          $((2 * i + replica)) "$port" "${data_centres[$(((i + replica) % 3))]}"
      done
      printf ']\n'
    done
  } >"$run/services/desk.toml"
}

run_case() { # NAME HEDGE_SHARE UPSTREAM_ARGUMENTS...
  local name=$1 hedge=$2 i
  shift 2
  start_platform
  start_upstreams "$@"
  for ((i = 0; i < 6; i++)); do
    start_instance "n$i" "${data_centres[$((i % 3))]}" '[limits]' "hedge_share = $hedge" '[log]' 'min_level = "error"'
    list_instance "n$i" "${data_centres[$((i % 3))]}"
  done
  local admin
  admin=127.0.0.1:$(port_of n0 admin)
  wait_active "$admin" 6
  "$bin/ebonykeel" --admin="$admin" publish "$run/services" --wait=20 >/dev/null
  cat >"$run/experiment.toml" <<TOML
name = "$name"
seed = 5
nodes = ["127.0.0.1:$(port_of n0 public)", "127.0.0.1:$(port_of n1 public)"]
upstreams = ["127.0.0.1:$(port_of searchers control_port)"]
duration_s = $seconds
warm_up_s = 10
rate = $rate
callers = 15

[query]
group = "desk"
TOML
  "$bin/ebonykeel" load "$run/experiment.toml" >"$run/load.log" 2>&1 || true
  printf '%-22s %s; %s; %s\n' "$name:" "$(grep '^latency' "$run/load.log")" \
    "$(grep '^answers' "$run/load.log")" "$(grep '^extra' "$run/load.log")"
  reset_cluster
}

echo "tail: $shards shards of 2 replicas, $rate queries/s for $seconds s, 6 instances"
run_case "no stragglers" 0.03
run_case "stragglers, hedges" 0.03 --straggler-share=0.01 --straggler-factor=20
run_case "stragglers, no hedges" 0 --straggler-share=0.01 --straggler-factor=20
