# Shared by scripts/demo and scripts/faults: seven entry VMs in six availability zones, the targets of an
# example document and the platform's stand-in, on loopback. Source it from the root of the repository.
# shellcheck shell=bash disable=SC2034  # Some variables are for the scripts that source this file.

readonly bin=build/default/bin
readonly entry_vms=7

declare -A pids=()   # Of every process that is to be ended, by name.
declare -a started=()  # The ids of all processes that were started.

# Sets the example deployment: its name, and the callers' services and methods.
set_deployment() {
  deployment=$1
  case $deployment in
    stranokrak) services=(survey-desk=GET ledger=POST dispatch=POST archive=GET) ;;
    rotaciones) services=(rota-view=GET load-ledger=POST order-desk=POST history-archive=GET) ;;
    *)
      echo "${0##*/}: unknown deployment \"$deployment\"; expected stranokrak or rotaciones" >&2
      return 2
      ;;
  esac
}

# Derives every port but those of the targets from one base.
set_ports() {
  platform=127.0.0.1:$1
  platform_control=127.0.0.1:$(($1 + 1))
  target_control_port=$(($1 + 10))  # Plus the number of the zone.
  caller_port=$(($1 + 100))         # Plus the number of the entry VM; likewise the next two.
  peer_port=$(($1 + 200))
  admin_port=$(($1 + 300))
}

# Creates the folder for logs and records, and ends the processes when the script ends.
create_folder() {
  folder=$(mktemp -d "${TMPDIR:-/tmp}/heatherspan-$1.XXXXXX")
  trap end_processes EXIT
  trap 'exit 130' INT TERM
}

create_secrets() {
  export HEATHERSPAN_PEER_KEY HEATHERSPAN_ADMIN_CREDENTIAL
  HEATHERSPAN_PEER_KEY=$(od -An -N32 -tx1 /dev/urandom | tr -d ' \n')
  HEATHERSPAN_ADMIN_CREDENTIAL=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
}

say() { printf '\n== %s\n' "$*"; }

fail() {
  echo "${0##*/}: $*; logs are in $folder" >&2
  exit 1
}

# Starts a program in the background. Usage: start NAME PROGRAM ARGUMENT...
start() {
  local name=$1
  shift
  "$@" >>"$folder/$name.out" 2>>"$folder/$name.log" &
  pids[$name]=$!
  started+=("$!")
}

# Ends every process that is left: first politely, then, after 3 s, by force.
end_processes() {
  local left=("${pids[@]}")
  ((${#left[@]} == 0)) && return
  kill -TERM "${left[@]}" 2>/dev/null || true
  for _ in {1..30}; do
    kill -0 "${left[@]}" 2>/dev/null || break
    sleep 0.1
  done
  kill -KILL "${left[@]}" 2>/dev/null || true
  wait "${left[@]}" 2>/dev/null || true
}

# Repeats a command until it succeeds. Usage: await SECONDS WHAT COMMAND...
await() {
  local end=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    ((SECONDS < end)) || fail "timed out waiting for $what"
    sleep 0.1
  done
}

http() { curl --silent --fail --max-time 3 "$@"; }

ctl() { "$bin/heatherspanctl" --server "127.0.0.1:$admin_port" "$@"; }

build() {
  scripts/install-packages
  cmake --preset default >"$folder/cmake.log"
  cmake --build --preset default -j "${HS_JOBS:-$(nproc)}" \
    --target heatherspand heatherspanctl platform_standin target_standin demo_caller \
    >"$folder/build.log" || { tail -30 "$folder/build.log" >&2; fail "the build failed"; }
}

# Writes one line for each target of the document: NAME ZONE ADDRESS.
list_targets() {
  awk -F'"' '
    /^\[/ { in_target = /^\[\[service\.target\]\]/ }
    in_target && /^name/ { name = $2 }
    in_target && /^zone/ { zone = $2 }
    in_target && /^address/ { print name, zone, $2 }' "$document"
}

# Writes one line for each zone of the document: ZONE REGION CAP.
list_zones() {
  awk -F'"' '
    /^\[/ { table = $0 }
    table == "[[region]]" && /^name/ { region = $2 }
    table == "[[region]]" && /^cap_rps/ { split($0, parts, "="); cap = parts[2] + 0 }
    table == "[[region.zone]]" && /^name/ { print $2, region, cap }' "$document"
}

# Writes one client address from each client block, without loopback.
list_clients() {
  awk -F'"' '
    /^\[/ { in_client = /^\[\[client\]\]/ }
    in_client && /^block/ && $2 !~ /^127\./ { sub(/\.0\/[0-9]+$/, ".1", $2); print $2 }' "$document"
}

# Reads the document's targets and zones into tables.
read_document() {
  list_targets >"$folder/targets.txt"
  list_zones >"$folder/zones.txt"
  mapfile -t zones < <(cut -d' ' -f1 "$folder/zones.txt")
  ((${#zones[@]} == 6)) || fail "$document has ${#zones[@]} zones; expected 6"
}

start_targets() {
  local number=0 zone list
  for zone in "${zones[@]}"; do
    list=$folder/targets-$zone.txt
    awk -v zone="$zone" '$2 == zone { print $1 "=" $3 }' "$folder/targets.txt" >"$list"
    start "targets-$zone" "$bin/target_standin" --file "$list" --service-ms 15 \
      --control "127.0.0.1:$((target_control_port + number))" --seed "$number"
    number=$((number + 1))
  done
}

# The zone of an entry VM: the first zone has two, each other zone has one.
zone_of() { echo "${zones[$(($1 == 0 ? 0 : $1 - 1))]}"; }

write_settings() {
  cat >"$folder/entry-$1.toml" <<END
[node]
name = "entry-$1"
zone = "$(zone_of "$1")"

[listen]
callers = "127.0.0.1:$((caller_port + $1))"
peers = "127.0.0.1:$((peer_port + $1))"
admin = "127.0.0.1:$((admin_port + $1))"

[peers]
seeds = ["127.0.0.1:$peer_port", "127.0.0.1:$((peer_port + 6))"]

[platform]
address = "$platform"
environment = "$deployment"

[workers]
threads = 2

[log]
level = "info"
END
}

start_platform() {
  local i
  for ((i = 0; i < entry_vms; ++i)); do
    jq -n --arg name "entry-$i" --arg zone "$(zone_of "$i")" --arg port "$((peer_port + i))" \
      '{name: $name, zone: $zone, role: "entry", state: "live", address: "127.0.0.1:\($port)"}'
  done | jq -s '{vms: .}' >"$folder/vms.json"
  start platform "$bin/platform_standin" --listen "$platform" --control "$platform_control" \
    --vms "$folder/vms.json"
}

start_entry_vm() { start "$1" "$bin/heatherspand" --settings "$folder/$1.toml"; }

start_entry_vms() {
  local i
  for ((i = 0; i < entry_vms; ++i)); do
    write_settings "$i"
    start_entry_vm "entry-$i"
  done
}

await_entry_vms() {
  local path=$1 i
  for ((i = 0; i < entry_vms; ++i)); do
    await 20 "entry-$i $path" http "http://127.0.0.1:$((admin_port + i))$path"
  done
}

# Succeeds when the entry VM's look-up answer lists at least two addresses.
lists_two_addresses() {
  http "http://127.0.0.1:$((caller_port + $1))/v1/lookup?service=${services[0]%=*}" |
    jq -e '.addresses | length >= 2'
}

start_deployment() {
  start_platform
  start_targets
  await 10 "the platform" http "http://$platform/v1/vms"
  start_entry_vms
  await_entry_vms /healthz
}

# Waits until every entry VM applies a document and gives callers a choice.
await_ready() {
  local begin=$SECONDS i
  await_entry_vms /readyz
  for ((i = 0; i < entry_vms; ++i)); do
    await 20 "look-up answers of entry-$i" lists_two_addresses "$i"
  done
  echo "every entry VM is ready after $((SECONDS - begin)) s"
}

# Runs callers in the background. Usage: start_callers NAME SECONDS SEED CALLERS
start_callers() {
  local arguments=() i client service
  for ((i = 0; i < entry_vms; ++i)); do
    arguments+=(--entry "127.0.0.1:$((caller_port + i))")
  done
  for client in $(list_clients); do arguments+=(--client "$client"); done
  for service in "${services[@]}"; do arguments+=(--service "$service"); done
  start "$1" "$bin/demo_caller" "${arguments[@]}" --rate "$rate" --seconds "$2" --seed "$3" --callers "$4" \
    --records "$folder/$1.jsonl"
}

# Waits for a process of this script and returns its exit status.
await_exit() {
  local status=0
  { wait "${pids[$1]}" || status=$?; } 2>/dev/null  # Without the shell's own notice.
  unset "pids[$1]"
  return "$status"
}

# Waits for callers; status 1 stands for a wrong answer, which the check reports.
await_callers() {
  local status=0
  await_exit "$1" || status=$?
  ((status <= 1)) || fail "the callers ended with status $status"
}

# Waits for a process to end and kills it after a time. Usage: kill_after SECONDS NAME
kill_after() {
  local end=$((SECONDS + $1)) pid=${pids[$2]}
  while kill -0 "$pid" 2>/dev/null; do
    if ((SECONDS >= end)); then
      echo "$2 has not ended after $1 s: SIGKILL"
      kill -KILL "$pid"
      return
    fi
    sleep 0.1
  done
}

# Checks a document, shows the warnings of its plan, and puts it into production.
promote() {
  ctl check "$1" >"$folder/check.out"
  ctl put "$1" --reason "$2" >"$folder/put.out"
  ctl --output json plan >"$folder/plan.json"
  jq -r '.. | objects | .warnings? // empty | .[] | "plan: \(.)"' "$folder/plan.json"
  ctl promote --reason "$2" | tee "$folder/promote.out" | grep '^  version:'
}

# Writes the record of a zone's targets. Usage: zone_executions NUMBER
zone_executions() {
  http "http://127.0.0.1:$((target_control_port + $1))/control/executions" ||
    fail "targets of ${zones[$1]} give no record"
}

# Collects the records of all targets; a zone whose targets were killed has a saved one.
fetch_executions() {
  local number saved
  for ((number = 0; number < ${#zones[@]}; ++number)); do
    saved=$folder/executions-${zones[$number]}.json
    if [[ -f $saved ]]; then cat "$saved"; else zone_executions "$number"; fi
  done | jq -s '{unrecorded: (map(.unrecorded) | add), executions: (map(.executions) | add)}' \
    >"$folder/executions.json"
}

# Writes the zones and the targets' zones as JSON for the checks.
write_tables() {
  jq -R -s 'split("\n") | map(select(. != "") | split(" ") | {key: .[0], value: .[1]}) | from_entries' \
    "$folder/targets.txt" >"$folder/target-zones.json"
  jq -R -s 'split("\n") | map(select(. != "") | split(" ") |
    {zone: .[0], region: .[1], cap: (.[2] | tonumber)})' "$folder/zones.txt" >"$folder/zones.json"
}

print_summary() {
  jq -r '.services | to_entries[] | .key as $name | .value |
    "\($name): \(.operations) requests, \(.answered) answered, \(.refused) refused, " +
    "\(.unknown) unknown, \(.wrong) wrong; \(.repeated) repeats, \(.lost) answers lost; " +
    "p50 \(.latency_ms.p50) ms, p99 \(.latency_ms.p99) ms" +
    (if .refusals == {} then "" else "\n  refusals: " +
      (.refusals | to_entries | map("\(.key) \(.value)") | join(", ")) end)' "$folder/$1.out"
}

# Prints the results of the checks; fails when an invariant was broken.
report_invariants() {
  jq -r '.[] | "\(if .ok then "ok    " else "BROKEN" end) \(.name): \(.found)"' "$folder/check.json"
  jq -e 'all(.[]; .ok)' "$folder/check.json" >/dev/null
}
