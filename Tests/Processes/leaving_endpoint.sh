#!/usr/bin/env bash
# An endpoint announces that it leaves and keeps running: no new work reaches it
# more than three seconds later, and the work it began is answered.
. "$(dirname "$0")/common.inc"
StartChain
StartLoad
WaitForRuns 50 booking-1
Fetch -X PUT "http://$host:${endpoint_port_of[booking-1]}/test/drain" >/dev/null
# At 70 calls a second this lasts well past the three seconds.
WaitForRuns 500 booking-2 booking-3
EndLoad
ExpectTruth
ExpectEqual "new work after the grace" "$(SumRecorded new_work_while_leaving booking-1)" 0
ExpectEqual "runs without an answer" \
  "$(($(SumRecorded started booking-1) - $(SumRecorded answered booking-1)))" 0
