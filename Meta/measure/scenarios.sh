#!/usr/bin/env bash
# Figures of the scenarios on virtual time.
. "$(dirname "$0")/common.inc"
runner="$build/Tests/Scenarios/scenario-runner"
NeedProgram "$runner" attempt_violations double_runs false_not_run || exit 0
"$runner" --json "$out" >"$work/runner.txt"
