#!/usr/bin/env bash
# Writes BUILD_DIR/measure.json: a flat object of named figures, null with a
# neighbouring <key>_reason where a figure could not be measured.
# Usage: Meta/measure.sh BUILD_DIR [STEP...]
# Each step Meta/measure/NAME.sh is run as `NAME.sh BUILD_DIR OUT WORK` and
# writes one flat JSON object to OUT; WORK is a scratch folder of its own.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: Meta/measure.sh BUILD_DIR [STEP...]}
shift
parts="$build/measure"
mkdir -p "$parts"

if [ $# -gt 0 ]; then
  steps=("$@")
else
  mapfile -t steps < <(cd Meta/measure && ls ./*.sh | sed 's|^\./||; s|\.sh$||')
  rm -f "$parts"/*.json
fi

failed=0
for step in "${steps[@]}"; do
  work="$parts/$step.work"
  rm -rf "$work" "$parts/$step.json"
  mkdir -p "$work"
  echo "measuring: $step"
  if ! "Meta/measure/$step.sh" "$build" "$parts/$step.json" "$work"; then
    echo "measuring: $step failed" >&2
    failed=1
  fi
done

# Keys in every measure.json; a step that measured one replaces the null.
jq -n '[
    "attempt_violations", "double_runs", "false_not_run", "foreign_answers",
    "partial_answers", "planned_stop_broken", "drain_new_work_violations",
    "in_force_100_nodes_s", "older_states", "lost_updates",
    "added_latency_p99_ms", "node_resident_mb", "decision_call_us",
    "control_at_7800_bytes_per_s", "control_at_7800_core_share"]
  | map({(.): null, "\(.)_reason": "no step measured it"}) | add' >"$parts/defaults.txt"
jq -s 'add
  | with_entries(select(.value != null or (.key | endswith("_reason") | not)))
  | . as $all
  | with_entries(select((.key | endswith("_reason") | not)
      or $all[.key | rtrimstr("_reason")] == null))
  | . + ([keys[] | select(endswith("_reason")) | {(rtrimstr("_reason")): null}] | add // {})' \
  "$parts/defaults.txt" "$parts"/*.json >"$build/measure.json"
jq -S . "$build/measure.json"
exit $failed
