#!/usr/bin/env bash
# Starts both deployments of the brief in turn, as real processes, and generates
# load with surges and a slow service deep in the call graph. Takes less than two
# minutes.
# Usage: Meta/demo.sh BUILD_DIR [cardiff|bavaria]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: Meta/demo.sh BUILD_DIR [cardiff|bavaria]}
only=${2:-}
base_port=${AUBURNFOLD_BASE_PORT:-21000}
work=$(mktemp -d "${TMPDIR:-/tmp}/auburnfold-demo.XXXXXX")
. Meta/deployment.sh
trap StopAll EXIT
trap 'exit 130' INT TERM

steady_s=4
surge_s=4
slow_factor=4

# Writes the plan for classes $1 (a JSON list) at $2 calls/s.
WritePlan() {
  jq -n --argjson nodes "$(NodesJson)" --argjson classes "$1" --argjson rate "$2" \
    --argjson steady "$steady_s" --argjson surge "$surge_s" '{
      nodes: $nodes, classes: $classes,
      retries: {tries: 3, backoff_ms: 50, hard: true, marked: false},
      phases: [
        {name: "steady", rate: $rate, seconds: $steady},
        {name: "2x demand", rate: ($rate * 2), seconds: $surge, surge: true},
        {name: "after 2x", rate: $rate, seconds: $steady},
        {name: "5x demand", rate: ($rate * 5), seconds: $surge, surge: true},
        {name: "after 5x", rate: $rate, seconds: $steady},
        {name: "slow deep service", rate: $rate, seconds: $surge, surge: true},
        {name: "after slow", rate: $rate, seconds: $steady}]}' >"$work/plan.json"
}

# Runs the plan and slows the endpoints named by $@ in its slow phase.
OfferLoad() {
  local name load slow_at=$((steady_s * 3 + surge_s * 2))
  "$build/Utilities/auburnfold-load/auburnfold-load" "$work/plan.json" --json "$work/load.json" \
    >"$work/load.txt" &
  load=$!
  pids+=("$load")
  sleep "$slow_at"
  for name in "$@"; do SetFaults "$name" "{\"slow_factor\": $slow_factor}"; done
  sleep "$surge_s"
  for name in "$@"; do SetFaults "$name" '{"slow_factor": 1}'; done
  wait "$load"
}

# Which fraction of each class was answered completely and in time, by phase.
PrintPhases() {
  jq -r '
    def cell: tostring | . + (" " * ([0, 22 - length] | max));
    (.phases[0].classes | keys_unsorted) as $names
    | "useful share of calls sent, by phase",
      (([""] + $names) | map(cell) | join("")),
      (.phases[] | . as $phase
       | ([$phase.name] + [$names[] | $phase.classes[.]
           | "\(.goodput_share * 1000 | round / 1000) of \(.sent)"])
       | map(cell) | join(""))' "$work/load.json"
}

PrintRecord() {
  local all=("${!endpoint_port_of[@]}")
  echo "by the endpoints' own record: $(SumRecorded started "${all[@]}") runs started," \
    "$(RunTwice by_key "${all[@]}") keys run twice," \
    "$(SumRecorded foreign_below "${all[@]}") foreign and" \
    "$(SumRecorded partial_below "${all[@]}") partial answers to deeper calls"
}

PrintResults() {
  cat "$work/load.txt"
  echo
  PrintPhases
  PrintRecord
  echo
}

# Slots are a tenth of the brief's, rounded up, and service times are long, so
# that the endpoints and not this machine's cores are the limit.
Cardiff() {
  echo "== Cardiff: 4 failure domains; slots scaled to 1/10, loopback in place of network delays"
  StartStore
  StartService bookings 4 4 --slots 17 --connection-limit 1100 --service-ms 100
  StartService listings 4 4 --slots 17 --connection-limit 1100 --service-ms 100 --deeper bookings/lookup
  StartService reservations 4 4 --slots 17 --connection-limit 1100 --service-ms 100 --deeper bookings/book
  StartService faults 4 4 --slots 2 --connection-limit 190 --service-ms 20 --deeper bookings/alert
  WaitForService listings lookup
  WaitForService reservations reserve
  WaitForService faults alert
  SetRow listings-1-node listings lookup '{"priority": 1, "idempotent": true}'
  SetRow listings-1-node bookings lookup '{"priority": 1, "idempotent": true}'
  SetRow listings-1-node reservations reserve '{"priority": 4}'
  SetRow listings-1-node bookings book '{"priority": 4}'
  SetRow listings-1-node faults alert '{"priority": 7, "idempotent": true}'
  SetRow listings-1-node bookings alert '{"priority": 7, "idempotent": true}'
  WritePlan '[
    {"name": "listings", "service": "listings", "class": "lookup", "timeout_ms": 1000, "share": 0.62},
    {"name": "reservations", "service": "reservations", "class": "reserve", "timeout_ms": 1500,
     "share": 0.35, "idempotent": false, "issued_key": true},
    {"name": "fault alerts", "service": "faults", "class": "alert", "timeout_ms": 1000, "share": 0.03}]' 300
  OfferLoad bookings-{1..4}
  PrintResults
  StopAll
}

Bavaria() {
  echo "== Bavaria: 3 failure domains; slots scaled to 1/10, loopback in place of network delays"
  StartStore
  StartService booking 3 3 --slots 15 --connection-limit 990 --service-ms 100
  StartService lots 4 3 --slots 11 --connection-limit 770 --service-ms 100 --deeper booking/occupancy
  StartService gate 3 3 --slots 15 --connection-limit 990 --service-ms 20 --deeper booking/check
  StartService shuttle 3 3 --slots 3 --connection-limit 250 --service-ms 50 --deeper lots/lookup
  WaitForService lots lookup
  WaitForService booking book
  WaitForService gate scan
  WaitForService shuttle times
  SetRow lots-1-node lots lookup '{"priority": 1, "idempotent": true}'
  SetRow lots-1-node shuttle times '{"priority": 1, "idempotent": true}'
  SetRow lots-1-node booking occupancy '{"priority": 1, "idempotent": true}'
  SetRow lots-1-node booking book '{"priority": 4}'
  SetRow lots-1-node gate scan '{"priority": 7, "idempotent": true}'
  SetRow lots-1-node booking check '{"priority": 7, "idempotent": true}'
  WritePlan '[
    {"name": "lot lookups", "service": "lots", "class": "lookup", "timeout_ms": 1000, "share": 0.53},
    {"name": "shuttle times", "service": "shuttle", "class": "times", "timeout_ms": 1000, "share": 0.05},
    {"name": "bookings", "service": "booking", "class": "book", "timeout_ms": 1500, "share": 0.24,
     "idempotent": false, "issued_key": true},
    {"name": "gate scans", "service": "gate", "class": "scan", "timeout_ms": 1000, "share": 0.18}]' 200
  OfferLoad booking-{1..3}
  PrintResults
  StopAll
}

[ "$only" = bavaria ] || Cardiff
[ "$only" = cardiff ] || Bavaria
rm -r "$work"
