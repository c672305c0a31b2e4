#!/usr/bin/env bash
# Runs the case of this folder; see claim.txt. Needs the build of the deploy file
# and review/build.sh. TROUBLE=0 leaves out the disruption. Writes record.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.."
work=$(mktemp -d) || exit 2
pid=
# The nodes end with the program that started them.
Finish() {
  if [ -n "$pid" ]; then
    kill "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  fi
  rm -rf "$work"
}
trap Finish EXIT
trap 'exit 2' TERM INT HUP
TROUBLE=${TROUBLE:-1} timeout -k 5 110 target/review/case-4 review/4/record.txt "$work" &
pid=$!
wait "$pid"
code=$?
pid=
case $code in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
