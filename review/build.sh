#!/usr/bin/env bash
# Builds the programs of the cases into target/review/. Needs the compiler and
# the JSON headers that the deploy file lists, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -o "target/review/case-$number" "$source" -pthread
done
