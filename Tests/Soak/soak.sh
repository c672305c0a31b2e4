#!/usr/bin/env bash
# Real nodes under traffic and disruptions, judged by what clients and endpoints
# see. Usage: soak.sh BUILD_DIR BASE_PORT SEED [SECONDS] [NODES] [CLIENTS]
# AUBURNFOLD_SOAK_NODE names another node program than the build's.
set -euo pipefail
source_dir=$(cd "$(dirname "$0")/../.." && pwd)
build=$1
base_port=$2
seed=$3
seconds=${4:-25}
nodes=${5:-8}
clients=${6:-12}
program=${AUBURNFOLD_SOAK_NODE:-$build/Services/auburnfold-node/auburnfold-node}
work=$(mktemp -d "${TMPDIR:-/tmp}/auburnfold-soak.XXXXXX")
. "$source_dir/Meta/deployment.sh"
first_port=$((base_port + 10))
ports_per_node=6
supervisors=()

# Starts node $1 again whenever it has ended, until the soak is over. An end
# that no signal asked for is noted.
Supervise() {
  local name=node-$1 code
  while [ ! -e "$work/over" ]; do
    "$program" --settings "$work/$name.json" >>"$work/$name.log" 2>&1 &
    echo $! >"$work/$name.pid.new"
    mv "$work/$name.pid.new" "$work/$name.pid"
    code=0
    wait $! || code=$?
    case $code in
      0 | 137 | 143) ;;
      *) echo "ENDED $name by itself, exit code $code" >>"$work/ended" ;;
    esac
    sleep 0.3
  done
}

Finish() {
  local status=$? i
  touch "$work/over"
  # A supervisor may just be starting its node once more.
  for i in "${!supervisors[@]}"; do
    until HasEnded "${supervisors[$i]}"; do
      kill -KILL "$(cat "$work/node-$i.pid" 2>/dev/null)" 2>/dev/null || true
      sleep 0.1
    done
  done
  StopAll
  if [ $status -eq 0 ]; then
    rm -r "$work"
  else
    echo "seed $seed: FAILED; logs are in $work"
  fi
}
trap Finish EXIT

# The service of node $1, as auburnfold-soak has it: two nodes have little
# traffic.
ServiceOf() {
  if [ "$1" -lt 2 ]; then
    echo quiet
  elif [ $(($1 % 2)) -eq 0 ]; then
    echo booking
  else
    echo gate
  fi
}

# Routes of service $1, for requests that may be repeated and that may not.
RoutesOf() {
  jq -n --arg service "$1" '
    [["read", "idempotent"], ["write", "non_idempotent"]][]
    | {resourceType: "routes", metadata: {name: ($service + "-" + .[0])},
       spec: {host: "calls.example", prefix: ("/" + $service + "-" + .[0] + "/"),
              kind: .[1], timeoutS: 6, targetLatencyS: 1.5, priority: 0,
              service: $service, maxAttempts: 2}}'
  jq -n --arg service "$1" '
    {resourceType: "services", metadata: {name: $service},
     spec: {healthPath: "/health", maxConnections: 500, protocol: "h1", tls: false}}'
}

PutConfiguration() {
  local config
  config=$({
    RoutesOf booking
    RoutesOf gate
    RoutesOf quiet
    jq -n '{resourceType: "limits", metadata: {},
            spec: {maxHeaderBytes: 131072, maxBodyBytes: 67108864,
                   headerTimeoutS: 3, idleTimeoutS: 15}}'
  } | jq -s -c '{version: "r1", resources: .}')
  jq -n --arg value "$(base64 -w0 <<<"$config")" '
    {expect: [{key: "op/config", revision: 0}],
     writes: [{key: "op/config", value: $value, lease: 0}], remove: []}' |
    Fetch -X POST -d @- "http://$host:$store_port/kv-txn" >/dev/null
}

StartStore
PutConfiguration
for ((i = 0; i < nodes; i++)); do
  jq -n --arg host "$host" --arg service "$(ServiceOf $i)" --arg zone "zone-$((i % 3))" \
    --argjson port $((first_port + ports_per_node * i)) --argjson store "$store_port" \
    'def at(offset): $host + ":" + ($port + offset | tostring);
     {dialect: "platform", host: $host, domain: $zone, service: $service,
      call_port: at(0), peer_port: at(1), ready_port: at(2), report_port: at(3),
      admin_port: ($port + 4), endpoint_address: at(5),
      store_address: ($host + ":" + ($store | tostring)),
      stop_limit_s: 6, capacity_planning: "with_downloads"}' >"$work/node-$i.json"
  Supervise $i &
  supervisors+=($!)
done
status=0
"$build/Tests/Soak/auburnfold-soak" --folder "$work" --store-port "$store_port" \
  --first-port "$first_port" --nodes "$nodes" --clients "$clients" --seed "$seed" \
  --seconds "$seconds" || status=$?
if [ -e "$work/ended" ]; then
  cat "$work/ended"
  status=1
fi
exit $status
