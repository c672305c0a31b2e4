#!/usr/bin/env bash
# A node is killed under load and replaced while its endpoint keeps running.
. "$(dirname "$0")/common.inc"
StartChain
StartLoad
WaitForRuns 50 booking-1
kill -KILL "${pid_of[booking-1-node]}"
WaitForRuns 50 booking-2 booking-3
RunNode booking-1-node
WaitForRuns 20 booking-1
EndLoad
ExpectTruth
