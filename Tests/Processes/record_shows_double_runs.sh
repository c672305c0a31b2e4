#!/usr/bin/env bash
# Shows that the check of the other tests can fail: clients that retry whatever
# the outcome, without a key, cause requests to be executed twice.
. "$(dirname "$0")/common.inc"
StartStore
StartService booking 2 2 --slots 20 --service-ms 5 --leave-ms 200
WaitForService booking pay
SetFaults booking-1 '{"lose_next": 1000000}'
SetFaults booking-2 '{"lose_next": 1000000}'
jq -n --argjson nodes "$(NodesJson)" '{nodes: $nodes,
  retries: {tries: 4, backoff_ms: 20, hard: true, marked: false},
  classes: [{service: "booking", class: "pay", timeout_ms: 10000, idempotent: false}],
  phases: [{rate: 100, seconds: 600}]}' >"$work/plan.json"
"$build/Utilities/auburnfold-load/auburnfold-load" "$work/plan.json" --json "$work/load.json" >"$work/load.txt" &
load_pid=$!
pids+=("$load_pid")
WaitForRuns 100 booking-1 booking-2
EndLoad
ExpectAbove "requests run twice" "$(RunTwice by_request booking-1 booking-2)" 0
