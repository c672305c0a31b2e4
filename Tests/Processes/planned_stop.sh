#!/usr/bin/env bash
# An endpoint and its node, then only a node, are stopped under load as planned:
# no request in flight fails, and all exit without aborting any.
. "$(dirname "$0")/common.inc"
StartChain
StartLoad
WaitForRuns 50 booking-1
kill -TERM "${pid_of[booking-1]}"
status=0
wait "${pid_of[booking-1]}" || status=$?
ExpectEqual "exit status of the endpoint" "$status" 0
kill -TERM "${pid_of[booking-1-node]}"
wait "${pid_of[booking-1-node]}" || status=$?
ExpectEqual "exit status of its node" "$status" 0
WaitForRuns 20 booking-2 booking-3
kill -TERM "${pid_of[gate-2-node]}"
wait "${pid_of[gate-2-node]}" || status=$?
ExpectEqual "exit status of the other node" "$status" 0
WaitForRuns 100 booking-2 booking-3
EndLoad
booking=(booking-2 booking-3)
ExpectTruth
ExpectEqual "calls with an unknown outcome" "$(Loaded total unknown)" 0
for name in "${gate[@]}"; do
  Fetch "http://$host:${endpoint_port_of[$name]}/test/summary" | jq -c '{failures_below}'
done
ExpectEqual "deeper calls broken" "$(($(SumRecorded broken_below "${gate[@]}") - broken_before))" 0
