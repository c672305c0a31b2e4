#!/usr/bin/env bash
# Latency that two nodes add, compared with direct calls of the same endpoint in
# the same run at half of the rate that the nodes can handle; and the nodes'
# memory.
. "$(dirname "$0")/common.inc"
load="$build/Utilities/auburnfold-load/auburnfold-load"
node="$build/Services/auburnfold-node/auburnfold-node"
for program in "$load" "$node"; do
  NeedProgram "$program" added_latency_p99_ms node_resident_mb || exit 0
done
base_port=${AUBURNFOLD_BASE_PORT:-22000}
. Meta/deployment.sh
trap StopAll EXIT

callers=16
rounds=8
round_s=2

StartNode entry domain-1
StartNode beside domain-1
StartEndpoint endpoint beside service --slots 200 --service-ms 1 --leave-ms 500
WaitUntil 200 CallThrough entry service call

WritePlan() {
  jq -n --argjson phases "$1" --arg node "$host:${call_port_of[entry]}" \
    --arg direct "$host:${endpoint_port_of[endpoint]}" '{
      nodes: [$node], direct: [$direct],
      classes: [{service: "service", class: "call", timeout_ms: 1000}],
      phases: $phases}' >"$work/plan.json"
}

WritePlan "[{\"name\": \"saturation\", \"callers\": $callers, \"seconds\": 3}]"
"$load" "$work/plan.json" --json "$work/saturation.json" >"$work/saturation.txt"
rate=$(jq '.total.useful / 3 / 2 | floor' "$work/saturation.json")

WritePlan "$(jq -n --argjson rate "$rate" --argjson rounds "$rounds" --argjson s "$round_s" '
  [{name: "warm-up", rate: $rate, seconds: 2}]
  + [range($rounds) as $i | ("direct", "node") as $path
     | {name: "round \($i)", rate: $rate, seconds: $s, path: $path}]')"
"$load" "$work/plan.json" --json "$work/rounds.json" >"$work/rounds.txt"

resident=0
for name in entry beside; do
  kb=$(awk '/^VmHWM/ {print $2}' "/proc/${pid_of[$name]}/status")
  [ "$kb" -gt "$resident" ] && resident=$kb
done

jq --argjson rate "$rate" --argjson resident "$resident" '
  def median: sort | if length % 2 == 1 then .[length / 2 | floor]
    else (.[length / 2 - 1] + .[length / 2]) / 2 end;
  def p99($path): [.phases[] | select(.name | startswith("round"))
    | select(.path == $path) | .classes["service/call"].p99_ms];
  def p50($path): [.phases[] | select(.name | startswith("round"))
    | select(.path == $path) | .classes["service/call"].p50_ms];
  def round3: . * 1000 | round / 1000;
  (p99("direct")) as $direct | (p99("node")) as $node
  | [range($direct | length) | $node[.] - $direct[.]] as $added
  | {added_latency_p99_ms: ($added | median | round3),
     added_latency_p99_least_round_ms: ($added | min | round3),
     added_latency_p99_worst_round_ms: ($added | max | round3),
     added_latency_p50_ms: ((p50("node") | median) - (p50("direct") | median) | round3),
     added_latency_rate_per_s: $rate,
     added_latency_goodput_share: .total.goodput_share,
     node_resident_mb: ($resident / 1024 | round3)}' "$work/rounds.json" >"$out"
