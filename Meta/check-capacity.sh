#!/usr/bin/env bash
# Computes the figures of docs/CAPACITY.md from the measured ones, and fails if
# the page differs. With --write it updates the page.
set -euo pipefail
cd "$(dirname "$0")/.."
page=docs/CAPACITY.md
measured=docs/measurements/nodes.json

# A straight line through the measured counts (least squares), at 7,800 nodes.
Figures() {
  jq -r '
    def line(f): length as $n | (map(.nodes) | add / $n) as $x | (map(f) | add / $n) as $y
      | ((map((.nodes - $x) * (f - $y)) | add) / (map((.nodes - $x) | . * .) | add)) as $slope
      | {slope: $slope, at: ($y + $slope * (7800 - $x))};
    def rounded(d): . * pow(10; d) | round / pow(10; d);
    (map(.nodes) | map(tostring) | join(", ")) as $counts
    | "Measured at \($counts) nodes; a straight line gives, at 7,800 nodes:", "",
      "| figure, per node | slope for each further node | at 7,800 | bound |",
      "| --- | --- | --- | --- |",
      (line(.sent_bytes_per_s) | "| control bytes sent, /s | \(.slope | rounded(3)) | \(.at | rounded(0)) | 11,000 both ways |"),
      (line(.received_bytes_per_s) | "| control bytes received, /s | \(.slope | rounded(3)) | \(.at | rounded(0)) | |"),
      (line(.core_share * 100) | "| share of a core, % | \(.slope | rounded(6)) | \(.at | rounded(2)) | 1 |"),
      (line(.most_resident_kb / 1024) | "| resident memory, MB | \(.slope | rounded(5)) | \(.at | rounded(1)) | 32 |"),
      "",
      "| figure, whole fleet | " + (map("\(.nodes) nodes") | join(" | ")) + " |",
      "| --- |" + (map(" --- |") | join("")),
      "| change in force everywhere, longest, ms | " + (map(.in_force_ms | if any(. == null) then "not" else max end | tostring) | join(" | ")) + " |",
      "| the same, store stopped after acceptance, ms | " + (map(.in_force_outage_ms | if . == null then "not" else . end | tostring) | join(" | ")) + " |",
      "| leaving known everywhere, ms | " + (map(.leaving_known_ms | if . == null then "not" else . end | tostring) | join(" | ")) + " |",
      "| all nodes known to all after a cold start, ms | " + (map(.joined_ms | if . == null then "not" else . end | tostring) | join(" | ")) + " |",
      "| survivors held for dead, a third killed | " + (map(.survivors_held_for_dead | tostring) | join(" | ")) + " |",
      "| calls at the store, /s | " + (map(.store_calls_per_s | rounded(2) | tostring) | join(" | ")) + " |"
  ' "$measured"
}

Section() { sed -n '/^<!-- figures -->$/,/^<!-- end -->$/p' "$page" | sed '1d;$d'; }

if [ "${1:-}" = --write ]; then
  Figures >"$page.figures"
  sed -i -e "/^<!-- figures -->$/,/^<!-- end -->$/{/^<!-- /!d}" \
    -e "/^<!-- figures -->$/r $page.figures" "$page"
  rm "$page.figures"
fi
diff <(Section) <(Figures) || { echo "$page differs from $measured" >&2; exit 1; }
