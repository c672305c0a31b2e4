#!/usr/bin/env bash
# Figures of the scenarios on virtual time, with the default policies and the
# baselines. Of several seeds the worst counts; violations are added up.
. "$(dirname "$0")/common.inc"
runner="$build/Tests/Scenarios/scenario-runner"
NeedProgram "$runner" attempt_violations double_runs false_not_run foreign_answers || exit 0

runners=()
for policy in ours no-control static-limit; do
  "$runner" --policy "$policy" --json "$work/$policy.json" Tests/Scenarios/scenarios/*.json \
    >"$work/$policy.txt" &
  runners+=("$!")
done
for runner in "${runners[@]}"; do
  wait "$runner"
done

jq -s '
  def worst($of): if $of == "recovery_s" then max else min end;
  # A scenario that never recovered gets the largest number there is.
  def finite: if . > 1e300 then null else . end;
  def figure($key; $value): {($key): $value}
    + if $value == null then {"\($key)_reason": "not recovered before the scenario ended"} else {} end;
  [add | to_entries[]
    | (.key | capture("^(?<policy>baseline_(static_limit|no_control)_)?(?<case>.+)/[0-9]+$")) + {figures: .value}]
  | . as $all | (group_by([.policy, .case]) | map(
      . as $seeds | (.[0].policy // "") as $policy | .[0].case as $case
      | ("goodput", "important_success", "recovery_s") as $name
      | [$seeds[].figures[$name] | select(. != null)]
      | select(length > 0)
      | worst($name) as $value
      | figure($policy + ($name | rtrimstr("_s")) + "_" + $case
          + (if $name == "recovery_s" then "_s" else "" end); $value | finite)) | add)
    + (["attempt_violations", "double_runs", "false_not_run", "foreign_answers", "partial_answers"]
       | map(. as $name | [$all[] | select(.policy == null) | .figures[$name] | select(. != null)]
             | select(length > 0) | {($name): add}) | add)
' "$work"/*.json >"$out"
