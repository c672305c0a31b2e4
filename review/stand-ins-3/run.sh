#!/usr/bin/env bash
# Runs one case: run.sh PROGRAM RECORD. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
program=target/review-3/$1
record=$2
[ -x "$program" ] && [ -x target/Services/auburnfold-node/auburnfold-node ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 110 "$program" "$folder" "$record" &
running=$!
# The nodes end with the program that started them.
trap 'kill "$running" 2>/dev/null; wait "$running" 2>/dev/null; rm -rf "$folder"' EXIT
trap 'exit 2' TERM INT HUP
wait "$running"
result=$?
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac
