#!/usr/bin/env bash
# Endpoints do the work, and their responses are truncated or lost.
. "$(dirname "$0")/common.inc"
StartChain
StartLoad
WaitForRuns 20 "${booking[@]}"
for name in "${booking[@]}" "${gate[@]}"; do
  SetFaults "$name" '{"truncate_next": 5}'
done
WaitForRuns 60 "${booking[@]}"
for name in "${booking[@]}" "${gate[@]}"; do
  SetFaults "$name" '{"lose_next": 5}'
done
WaitForRuns 100 "${booking[@]}"
EndLoad
ExpectTruth
