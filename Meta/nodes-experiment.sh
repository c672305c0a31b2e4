#!/usr/bin/env bash
# Measures membership and the policy table with real node processes and a
# stand-in store on loopback, and writes the figures as JSON.
# Usage: Meta/nodes-experiment.sh OUTPUT COUNT...
set -euo pipefail
cd "$(dirname "$0")/.."
output=$1
shift
build=${AUBURNFOLD_BUILD:-build}
base_port=${AUBURNFOLD_PORT:-21000}
window_s=20
changes=5
domains=9
token=experiment-token-0123
most_nodes=200

work=$(mktemp -d)
# shellcheck source=Meta/deployment.sh
. Meta/deployment.sh
trap 'StopAll; rm -rf "$work"' EXIT

# Configures the editing team at each node.
RunNode() {
  jq --arg token "$token" \
    '.admin = {teams: [{name: "experiment", token: $token, services: ["*"]}]}' \
    "$work/$1.json" >"$work/$1.settings"
  StartProcess "$1" "$build/Services/auburnfold-node/auburnfold-node" --settings "$work/$1.settings"
}

NowMs() { date +%s%3N; }

# Fetches path $1 from each node named by the rest, one response per line.
FetchAll() {
  local path=$1 name
  shift
  for name in "$@"; do
    [ "$name" = "$1" ] || echo "next"
    echo "url = \"http://$host:${admin_port_of[$name]}$path\""
    echo "header = \"Authorization: Bearer $token\""
    echo "output = \"$work/answer-$name\""
  done >"$work/urls"
  rm -f "$work"/answer-*
  curl -s --no-progress-meter -m 5 -Z --parallel-max 50 -K "$work/urls" || true
  cat "$work"/answer-* 2>/dev/null || true
}

# How many of the nodes named by the rest know $1 members that are not gone.
CountKnowing() {
  local wanted=$1
  shift
  FetchAll /v1/nodes "$@" |
    jq -c '[.nodes[] | select(.state != "gone")] | length' | grep -cx "$wanted" || true
}

# Waits for up to $1 seconds until all nodes named by the rest know $2 members.
# Prints the milliseconds, or null.
WaitUntilKnown() {
  local limit_s=$1 wanted=$2 start
  shift 2
  start=$(NowMs)
  while [ $(($(NowMs) - start)) -lt $((limit_s * 1000)) ]; do
    if [ "$(CountKnowing "$wanted" "$@")" -eq $# ]; then
      echo $(($(NowMs) - start))
      return
    fi
  done
  echo null
}

# Writes version $2 of the row listings/lookup at the node named $1.
Change() {
  local tag="If-Match: \"$(($2 - 1))\""
  [ "$2" -gt 1 ] || tag='If-None-Match: *'
  Fetch -X PUT -H "Authorization: Bearer $token" -H "Auburnfold-Change: c$2" \
    -H "$tag" -d "{\"weight\": $2}" \
    "http://$host:${admin_port_of[$1]}/v1/table/listings/lookup" >/dev/null
}

# Waits until every node named by the rest holds version $1; prints the
# milliseconds since the call, or null after 30 s.
WaitUntilInForce() {
  local version=$1 start
  shift
  start=$(NowMs)
  while [ $(($(NowMs) - start)) -lt 30000 ]; do
    if [ "$(FetchAll /v1/table "$@" | jq -c '.rows[].version' | grep -cx "$version" || true)" -eq $# ]; then
      echo $(($(NowMs) - start))
      return
    fi
  done
  echo null
}

# The sum of counter $1 over the nodes named by the rest.
SumOf() {
  local name=$1
  shift
  FetchAll /metrics "$@" | awk -v name="auburnfold_$name" '$1 == name {sum += $2} END {printf "%d\n", sum}'
}

# Clock ticks used by the processes of the named nodes.
TicksOf() {
  local name
  for name in "$@"; do cat "/proc/${pid_of[$name]}/stat"; done |
    awk '{sum += $14 + $15} END {print sum}'
}

ResidentKb() {
  local name
  for name in "$@"; do grep VmRSS "/proc/${pid_of[$name]}/status"; done |
    awk '$2 > most {most = $2} END {print most}'
}

StoreCalls() { Fetch "http://$host:$store_port/test/counts" | jq .total; }

RunWith() {
  local count=$1 names=() i version=0 times=() found
  [ "$count" -le "$most_nodes" ] || { echo "at most $most_nodes nodes" >&2; exit 64; }
  nodes_started=0 seeds= seed_count=0
  # This runs in a subshell, which inherits no trap.
  trap StopAll EXIT
  trap 'exit 143' TERM
  StartStore
  for ((i = 0; i < count; i++)); do
    StartNode "n$i" "domain-$((i % domains))"
    names+=("n$i")
  done
  WaitUntil 300 Fetch "http://$host:${admin_port_of["n$((count - 1))"]}/healthz"
  local joined
  joined=$(WaitUntilKnown 90 "$count" "${names[@]}")
  sleep 15

  local sent received ticks calls
  sent=$(SumOf control_bytes_sent_total "${names[@]}")
  received=$(SumOf control_bytes_received_total "${names[@]}")
  ticks=$(TicksOf "${names[@]}")
  calls=$(StoreCalls)
  sleep "$window_s"
  ticks=$(($(TicksOf "${names[@]}") - ticks))
  calls=$(($(StoreCalls) - calls))
  sent=$(($(SumOf control_bytes_sent_total "${names[@]}") - sent))
  received=$(($(SumOf control_bytes_received_total "${names[@]}") - received))
  local resident
  resident=$(ResidentKb "${names[@]}")

  for ((i = 0; i < changes; i++)); do
    version=$((version + 1))
    Change "n$((i * count / changes))" "$version"
    times+=("$(WaitUntilInForce "$version" "${names[@]}")")
  done

  # The store stops responding as soon as one more change is accepted.
  version=$((version + 1))
  Change n1 "$version"
  kill -STOP "${pid_of[store]}"
  local in_outage
  in_outage=$(WaitUntilInForce "$version" "${names[@]}")

  # One node stops gracefully while the store is unavailable.
  local last=${names[-1]} staying=("${names[@]:0:count-1}")
  kill -TERM "${pid_of[$last]}"
  local left
  left=$(WaitUntilKnown 30 $((count - 1)) "${staying[@]}")
  kill -CONT "${pid_of[store]}"

  # A third is killed at once; no survivor may be declared gone.
  local survivors=("${staying[@]:count/3}") name
  for name in "${staying[@]:0:count/3}"; do kill -KILL "${pid_of[$name]}"; done
  sleep 20
  local ports forgotten
  ports=$(for name in "${survivors[@]}"; do echo $((admin_port_of[$name] - 1)); done | jq -s -c .)
  forgotten=$(FetchAll /v1/nodes "${survivors[@]}" |
    jq -c --argjson alive "$ports" \
      '[.nodes[] | select(.state == "gone") | .control_port | select(. as $p | $alive | index($p))] | length' |
    awk '{sum += $1} END {print sum + 0}')
  StopAll
  jq -n --argjson nodes "$count" --argjson joined "$joined" --argjson left "$left" \
    --argjson window "$window_s" --argjson sent "$sent" --argjson received "$received" \
    --argjson ticks "$ticks" --argjson hertz "$(getconf CLK_TCK)" --argjson calls "$calls" \
    --argjson resident "$resident" --argjson outage "$in_outage" --argjson forgotten "$forgotten" \
    --argjson in_force "$(printf '%s\n' "${times[@]}" | jq -s -c .)" '
    {nodes: $nodes, joined_ms: $joined, in_force_ms: $in_force, in_force_outage_ms: $outage,
     leaving_known_ms: $left, survivors_held_for_dead: $forgotten,
     sent_bytes_per_s: ($sent / $nodes / $window), received_bytes_per_s: ($received / $nodes / $window),
     core_share: ($ticks / $hertz / $nodes / $window), most_resident_kb: $resident,
     store_calls_per_s: ($calls / $window)}'
}

results=()
for count in "$@"; do
  result=$(RunWith "$count")
  echo "$result" | jq -c . >&2
  results+=("$result")
  printf '%s\n' "${results[@]}" | jq -s . >"$output.part"
  mv "$output.part" "$output"
  base_port=$((base_port + 1100))
done
