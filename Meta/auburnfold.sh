#!/usr/bin/env bash
# Builds, tests, demonstrates and measures auburnfold. See --help.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${AUBURNFOLD_BUILD:-build}

usage() {
  cat <<EOF
Usage: Meta/auburnfold.sh COMMAND
  build     installs what is missing and builds into ${build}/
  test      builds and runs every test
  lint      checks formatting (clang-format) and style (clang-tidy)
  demo      starts both deployments of the brief and offers load with a surge
  measure   writes ${build}/measure.json
EOF
}

install_missing() {
  local missing=()
  while read -r package; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
  done < Meta/packages.txt
  [ ${#missing[@]} -eq 0 ] && return 0
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
}

build_all() {
  install_missing
  cmake -S . -B "$build" -G Ninja >/dev/null
  cmake --build "$build" -j "${AUBURNFOLD_JOBS:-8}"
}

case "${1:-}" in
  build) build_all ;;
  test) build_all; Meta/run-tests.sh "$build" ;;
  lint) install_missing; Meta/lint.sh "$build" ;;
  demo) build_all; exec Meta/demo.sh "$build" ;;
  measure) build_all; exec Meta/measure.sh "$build" ;;
  -h|--help) usage ;;
  *) usage >&2; exit 64 ;;
esac
