#!/usr/bin/env bash
# Calls broken by planned stops of an endpoint and of a node under load, and
# new work that a leaving endpoint received more than 3 s after it said so.
. "$(dirname "$0")/common.inc"
load="$build/Utilities/auburnfold-load/auburnfold-load"
node="$build/Services/auburnfold-node/auburnfold-node"
for program in "$load" "$node"; do
  NeedProgram "$program" planned_stop_broken drain_new_work_violations || exit 0
done
base_port=${AUBURNFOLD_BASE_PORT:-22200}
. Meta/deployment.sh
trap StopAll EXIT

StartStore
StartService front 3 3 --slots 20 --service-ms 20 --exponential --deeper deep/call
StartService deep 4 3 --slots 20 --service-ms 20 --exponential
WaitForService front call

fronts=(front-1 front-2 front-3)
# Calls made before every node knew the deepest service do not count.
below_before=$(SumRecorded broken_below "${fronts[@]}")

# Callers use nodes that keep running.
entries=$(for name in front-1 front-2 deep-3 deep-4; do echo "$host:${call_port_of[$name-node]}"; done)
jq -n --arg entries "$entries" '{nodes: ($entries | split("\n")),
  classes: [{service: "front", class: "call", timeout_ms: 2000, idempotent: false}],
  phases: [{name: "steady", rate: 200, seconds: 20}]}' >"$work/plan.json"
"$load" "$work/plan.json" --json "$work/load.json" >"$work/load.txt" &
load_pid=$!
pids+=("$load_pid")

sleep 2
# The whole VM: first the endpoint, then its node.
kill -TERM "${pid_of[deep-1]}"
Fetch -X PUT "http://$host:${endpoint_port_of[deep-2]}/test/drain" >/dev/null
wait "${pid_of[deep-1]}"
kill -TERM "${pid_of[deep-1-node]}"
sleep 3
# Only a node; its endpoint keeps running.
kill -TERM "${pid_of[front-3-node]}"
wait "$load_pid"

for name in "${fronts[@]}"; do
  Fetch "http://$host:${endpoint_port_of[$name]}/test/summary"
done >"$work/summaries.json"
# A failure other than a refusal for overload was caused by a stop.
jq --argjson below "$(($(SumRecorded broken_below "${fronts[@]}") - below_before))" \
  --argjson violations "$(SumRecorded new_work_while_leaving deep-2)" \
  '.total | {planned_stop_broken: (.unknown + .foreign + .partial + $below),
    planned_stop_calls: .sent, planned_stop_refused: .refused,
    drain_new_work_violations: $violations}' "$work/load.json" >"$out"
