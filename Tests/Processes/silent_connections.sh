#!/usr/bin/env bash
# All present connections to an endpoint go silent, and new ones work: the
# endpoint gets work again, and nothing is executed twice.
. "$(dirname "$0")/common.inc"
StartChain
StartLoad
WaitForRuns 50 booking-1
SetFaults booking-1 '{"silence_share": 1}'
WaitForRuns 50 booking-2 booking-3
WaitForRuns 20 booking-1
EndLoad
ExpectTruth
