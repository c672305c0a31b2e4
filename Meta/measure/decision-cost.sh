#!/usr/bin/env bash
# Cost of all reducer events of one call.
. "$(dirname "$0")/common.inc"
bench="$build/Utilities/auburnfold-bench/auburnfold-bench"
NeedProgram "$bench" decision_call_us || exit 0
"$bench" --benchmark_filter=BM_DecisionsOfOneCall --benchmark_out="$work/bench.json" \
  --benchmark_out_format=json >"$work/bench.txt" 2>&1
jq '.benchmarks[0]
  | {ns: 0.001, us: 1, ms: 1000}[.time_unit] as $us
  | {decision_call_us: (.cpu_time * $us)}' "$work/bench.json" >"$out"
