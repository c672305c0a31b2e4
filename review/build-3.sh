#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the node, into
# target/review-3. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand-ins-3/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra "$source" \
    -o "target/review-3/$(basename "$source" .cpp)" -lboost_json -lxxhash -lpthread
done
