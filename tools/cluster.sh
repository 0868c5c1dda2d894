# Functions that start and stop a cluster of local processes. Sourced by the demo
# and the measurement scripts, which set `bin` to the folder of the programs. All
# processes are killed when the sourcing script exits.

run=$(mktemp -d)
pids=()
declare -A pid_of

cleanup() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$run"
}
trap cleanup EXIT

# Starts a program in the background; its output goes to a log file.
# Starts a program in the background; its output goes to a log file.
launch() { # NAME PROGRAM ARGUMENTS...
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
}

# Kills all processes and clears their files, so that a new cluster can be started.
reset_cluster() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  pids=()
  pid_of=()
  rm -rf "${run:?}"/*
}

# Waits for the ready file of a process and prints the number under the key.
port_of() { # NAME KEY
  local i
  for ((i = 0; i < 300; i++)); do
    [ -s "$run/$1.json" ] && break
    sleep 0.1
  done
  sed -E "s/.*\"$2\": *([0-9]+).*/\1/" "$run/$1.json"
}

start_platform() {
  launch platform "$bin/standin_platform" --listen=127.0.0.1:0 --ready-file="$run/platform.json"
  platform=$(port_of platform port)
}

# Adds a running instance to the platform's instance list.
# Adds a running instance to the platform's instance list.
list_instance() { # NAME DATA_CENTRE
  local body
  body=$(printf '{"id":"%s","peer_address":"127.0.0.1:%s","public_address":"127.0.0.1:%s","admin_address":"127.0.0.1:%s","data_centre":"%s","region":"one","state":"live"}' \
    "$1" "$(port_of "$1" peer)" "$(port_of "$1" public)" "$(port_of "$1" admin)" "$2")
  curl -sSf -o /dev/null -X PUT -d "$body" "http://127.0.0.1:$platform/standin/instances/$1"
}

# Starts an instance; the arguments after the data centre are lines of its
# settings file.
start_instance() { # NAME DATA_CENTRE [LINE...]
  local name=$1 data_centre=$2
  shift 2
  {
    printf 'id = "%s"\ndata_centre = "%s"\nregion = "one"\nready_file = "%s"\n' \
      "$name" "$data_centre" "$run/$name.json"
    printf '[store]\naddress = "127.0.0.1:%s"\n' "$platform"
    printf '%s\n' "$@"
  } >"$run/$name.toml"
  launch "$name" "$bin/ebonykeeld" --settings="$run/$name.toml"
}

# Waits until an instance reports at least COUNT active instances.
wait_active() { # ADMIN_ADDRESS COUNT
  local i
  for ((i = 0; i < 300; i++)); do
    [ "$("$bin/ebonykeel" --admin="$1" status 2>/dev/null | grep -c ' active ' || true)" -ge "$2" ] && return
    sleep 0.2
  done
  echo "fewer than $2 active instances at $1" >&2
  return 1
}
