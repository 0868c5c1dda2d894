#!/usr/bin/env bash
# Writes the service files of an example user, with upstreams on 127.0.0.1 and
# consecutive ports.
# Usage: tools/make_services.sh tasadores|haufiku small|full FOLDER FIRST_PORT
# Prints each upstream as: ID ADDRESS DATA_CENTRE SERVICE SHARD
set -euo pipefail

if [ $# -ne 4 ]; then
  sed -n '2,5s/^# //p' "$0" >&2
  exit 2
fi
user=$1
size=$2
folder=$3
port=$4
replica_count=0

case $user in
  tasadores)
    centres=(oviedo santander bilbao)
    deadline_ms=400 preference=coverage sufficient=1.0 coverage=1.0
    ;;
  haufiku)
    centres=(swakopmund walvis-bay henties-bay)
    deadline_ms=200 preference=latency sufficient=0.9 coverage=0.9
    ;;
  *)
    echo "unknown user: $user" >&2
    exit 2
    ;;
esac
case $size in
  small | full) ;;
  *)
    echo "unknown size: $size" >&2
    exit 2
    ;;
esac
mkdir -p "$folder"

# replica ID SERVICE SHARD: writes one replica; data centres are assigned in turn.
replica() {
  local address=127.0.0.1:$port centre=${centres[$((replica_count % 3))]}
  echo "  { id = \"$1\", address = \"$address\", data_centre = \"$centre\" },"
  echo "$1 $address $centre $2 $3" >&3
  port=$((port + 1))
  replica_count=$((replica_count + 1))
}

# service NAME GROUP SHARDS SLOTS CONNECTIONS CONNECT_MS ONCE: writes the file of
# one service with two replicas per shard.
service() {
  local name=$1 group=$2 shards=$3 slots=$4 connections=$5 connect_ms=$6 once=$7
  local shard
  {
    cat <<HEAD
name = "$name"
group = "$group"
index_version = 1
slots = $slots
connection_limit = $connections
connect_time_ms = $connect_ms
deadline_ms = $deadline_ms
preference = "$preference"
sufficient_coverage = $sufficient
service_level = { objective = 0.99, latency_ms = 56, coverage = $coverage }
operations = { idempotent = ["search"], once = [$once] }
HEAD
    for ((shard = 0; shard < shards; ++shard)); do
      printf '\n[[shard]]\nname = "s%d"\nreplicas = [\n' "$shard"
      replica "$name-s$shard-a" "$name" "s$shard"
      replica "$name-s$shard-b" "$name" "s$shard"
      echo "]"
    done
  } >"$folder/$name.toml"
}

# services COUNT GROUP SLOTS CONNECTIONS CONNECT_MS: writes the files of COUNT
# services with one shard each.
services() {
  local number
  for ((number = 1; number <= $1; ++number)); do
    service "$(printf '%s-%02d' "$2" "$number")" "$2" 1 "$3" "$4" "$5" ""
  done
}

exec 3>&1
case $user-$size in
  tasadores-small)
    services 2 valuation-desk 2 60 6
    services 1 insurer-portal 2 60 6
    service certificate-office certificate-office 2 2 250 1 '"file"'
    service dye-registry dye-registry 1 2 250 1 '"file"'
    ;;
  tasadores-full)
    services 20 valuation-desk 2 60 6
    services 30 insurer-portal 2 60 6
    service certificate-office certificate-office 10 2 250 1 '"file"'
    service dye-registry dye-registry 5 2 250 1 '"file"'
    ;;
  haufiku-small)
    services 2 field-desk 2 55 6
    services 1 club-roll 2 55 6
    service registration-office registration-office 1 3 80 1 '"register"'
    service heat-board heat-board 2 3 80 1 '"confirm"'
    ;;
  haufiku-full)
    services 20 field-desk 2 55 6
    services 30 club-roll 2 55 6
    service registration-office registration-office 5 3 80 1 '"register"'
    service heat-board heat-board 2 3 80 1 '"confirm"'
    ;;
esac
