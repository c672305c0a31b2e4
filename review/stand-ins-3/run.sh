#!/usr/bin/env bash
# Runs one case: run.sh PROGRAM RECORD. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
program=target/review-3/$1
record=$2
[ -x "$program" ] && [ -x target/Services/auburnfold-node/auburnfold-node ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 110 "$program" "$folder" "$record"
result=$?
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac
