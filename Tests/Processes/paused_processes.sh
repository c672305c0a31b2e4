#!/usr/bin/env bash
# A node, then an endpoint, is paused under load and resumed later.
. "$(dirname "$0")/common.inc"
StartChain
StartLoad
WaitForRuns 50 "${booking[@]}"
kill -STOP "${pid_of[booking-1-node]}"
WaitForRuns 50 booking-2 booking-3
kill -CONT "${pid_of[booking-1-node]}"
WaitForRuns 20 booking-2 booking-3
kill -STOP "${pid_of[booking-2]}"
WaitForRuns 50 booking-1 booking-3
kill -CONT "${pid_of[booking-2]}"
WaitForRuns 100 "${booking[@]}"
EndLoad
ExpectTruth
