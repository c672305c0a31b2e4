#!/usr/bin/env bash
# Cost of all reducer events of one call.
. "$(dirname "$0")/common.inc"
bench="$build/Utilities/auburnfold-bench/auburnfold-bench"
NeedProgram "$bench" decision_call_us || exit 0
"$bench" --json "$out" >"$work/bench.txt"
