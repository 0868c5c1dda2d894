#!/usr/bin/env bash
# Measures the cost of the control traffic in an idle fleet: bytes on the loopback
# interface, processor time and memory per instance, calls to the object store,
# and the time until a published change is in force on all instances. Prints one
# line per fleet size.
# Usage: tools/measure_control.sh BUILD_FOLDER SECONDS SIZE...
set -euo pipefail
bin=$1/bin
seconds=$2
shift 2
source "$(dirname "$0")/cluster.sh"

ticks=$(getconf CLK_TCK)

lo_bytes() { awk '/^ *lo:/ {print $2}' /proc/net/dev; }

cpu_ticks() { # PIDS...
  for pid in "$@"; do
    awk '{print $14 + $15}' "/proc/$pid/stat"
  done | awk '{s += $1} END {print s}'
}

resident_kb() {
  for pid in "$@"; do
    awk '/^VmRSS/ {print $2}' "/proc/$pid/status"
  done | awk '{s += $1} END {printf "%d", s / NR}'
}

store_counter() { # NAME
  curl -s "http://127.0.0.1:$platform/standin/counters" |
    sed -E "s/.*\"$1\": *([0-9]+).*/\1/"
}

measure() { # SIZE
  local size=$1 instance_pids=() data_centres=(oviedo santander bilbao gijon) i
  start_platform
  for ((i = 0; i < size; i++)); do
    start_instance "n$i" "${data_centres[$((i % 4))]}" '[log]' 'min_level = "warning"'
    instance_pids+=("${pid_of[n$i]}")
  done
  for ((i = 0; i < size; i++)); do
    list_instance "n$i" "${data_centres[$((i % 4))]}"
  done
  local admin
  admin=127.0.0.1:$(port_of n0 admin)
  wait_active "$admin" "$size"
  sleep 15
  local bytes0 cpu0 reads0 writes0 lists0 watches
  bytes0=$(lo_bytes)
  cpu0=$(cpu_ticks "${instance_pids[@]}")
  reads0=$(store_counter reads)
  writes0=$(store_counter writes)
  lists0=$(store_counter instance_list_reads)
  sleep "$seconds"
  watches=$(store_counter watches_waiting)
  local bytes cpu reads writes lists
  bytes=$(($(lo_bytes) - bytes0))
  cpu=$(($(cpu_ticks "${instance_pids[@]}") - cpu0))
  reads=$(($(store_counter reads) - reads0))
  writes=$(($(store_counter writes) - writes0))
  lists=$(($(store_counter instance_list_reads) - lists0))
  local rss started in_force
  rss=$(resident_kb "${instance_pids[@]}")
  mkdir "$run/services"
  cp examples/tasadores/valuation-desk-01.toml "$run/services"
  started=$(date +%s%N)
  in_force=-
  if "$bin/ebonykeel" --admin="$admin" publish "$run/services" --wait=20 >"$run/publish.log" 2>&1; then
    in_force=$((($(date +%s%N) - started) / 1000000))
  fi
  awk -v n="$size" -v s="$seconds" -v b="$bytes" -v c="$cpu" -v t="$ticks" -v r="$rss" \
    -v reads="$reads" -v writes="$writes" -v lists="$lists" -v w="$watches" -v f="$in_force" 'BEGIN {
      printf "%5d instances: %7.2f KB/s per instance, %5.2f%% of a core per instance, %6.1f MB per instance, store %.2f reads/s %.2f writes/s %.2f lists/s %d watches waiting, publish in force in %s ms\n",
        n, b / s / n / 1000, 100 * c / t / s / n, r / 1000, reads / s, writes / s, lists / s, w, f }'
  reset_cluster
}

for size in "$@"; do
  measure "$size"
done
