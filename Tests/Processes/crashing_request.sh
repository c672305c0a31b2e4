#!/usr/bin/env bash
# A request ends each endpoint that begins to run it, and comes again at every
# node. It is stopped, and nodes that are killed and replaced learn of it.
. "$(dirname "$0")/common.inc"
StartChain
nodes=("${!call_port_of[@]}")
crashes=0

RunBooking() {
  StartEndpoint "$1" "$1-node" booking --slots 20 --service-ms 20 --leave-ms 4000
  WaitUntil 100 Fetch "http://$host:${endpoint_port_of[$1]}/test/summary" || Fail "$1 is not back"
  SetFaults "$1" '{"crash_on_body": "culprit"}'
}

# Starts the endpoints that have ended again, and counts them.
ReplaceEnded() {
  local name
  for name in "${booking[@]}"; do
    if HasEnded "${pid_of[$name]}"; then
      crashes=$((crashes + 1))
      RunBooking "$name"
    fi
  done
}

# Sends the request through the node named $1; prints the result that it names.
SendCulprit() {
  curl -s -m 5 -o "$work/answer" -D - -X POST -H 'Auburnfold-Service: booking' \
    -H 'Auburnfold-Class: book' -H 'Auburnfold-Timeout-Ms: 2000' -d culprit \
    "http://$host:${call_port_of[$1]}/book" | tr -d '\r' |
    awk 'tolower($1) == "auburnfold-result:" {print $2}'
}

# How many crashes the node named $1 knows of. Requests between nodes tell them.
KnownCrashes() {
  local name
  for name in "${nodes[@]}"; do
    CallThrough "$name" booking book >/dev/null || true
  done
  Fetch "http://$host:$((call_port_of[$1] + 1))/auburnfold/v1/view" | grep -c crashes/ || true
}

# Two crashes with nothing else at work convict the request.
KnowsOfTwoCrashes() {
  [ "$(KnownCrashes "$1")" -ge 2 ]
}

for name in "${booking[@]}"; do
  SetFaults "$name" '{"crash_on_body": "culprit"}'
done
refused=0
for ((round = 0; round < 20; round++)); do
  for name in "${nodes[@]}"; do
    [ "$(SendCulprit "$name")" = quarantined ] && refused=$((refused + 1))
  done
  ReplaceEnded
  WaitForService booking book
done
# Two crashes at each endpoint are enough even for nodes that know of no other.
ExpectAbove "crashes" "$crashes" 1
ExpectAbove "7 less crashes" "$((7 - crashes))" 0
ExpectAbove "refusals of 100 requests" "$refused" 50

before=$crashes
for name in "${nodes[@]}"; do
  kill -KILL "${pid_of[$name]}"
  WaitUntil 100 HasEnded "${pid_of[$name]}"
  RunNode "$name"
  WaitForService booking book
  WaitUntil 200 KnowsOfTwoCrashes "$name" || Fail "$name does not learn of two crashes"
  ExpectEqual "$name refuses it" "$([ "$(SendCulprit "$name")" = quarantined ] && echo 1 || echo 0)" 1
done
ReplaceEnded
ExpectEqual "crashes after the nodes were replaced" "$((crashes - before))" 0
