#!/usr/bin/env bash
# Checks formatting and style of every C++ file that git tracks or could track.
set -euo pipefail
build=$1
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h')
clang-format --dry-run --Werror "${files[@]}"
echo "clang-format: ${#files[@]} files clean"
[ -f "$build/compile_commands.json" ] || cmake -S . -B "$build" -G Ninja >/dev/null
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cc')
# Shared by all work trees, since a stamp depends only on text and options.
stamps="${XDG_CACHE_HOME:-$HOME/.cache}/auburnfold-tidy"
mkdir -p "$stamps"
# A source whose preprocessed text is unchanged since it was last clean is not
# checked again.
export stamps build
check_one() {
  local source=$1 command key
  command=$(jq -r --arg f "$PWD/$source" '[.[] | select(.file==$f)][0].command // empty' "$build/compile_commands.json")
  [ -n "$command" ] || { echo "not compiled: $source"; return 1; }
  command=$(sed -E 's/ -o [^ ]+ -c / -E -P /' <<<"${command#*ccache }")
  # The options count as well as the text; a source that cannot be
  # preprocessed has no key and fails.
  key=$(set -o pipefail; { cat .clang-tidy; eval "$command"; } | sha256sum | cut -d' ' -f1) || { echo "not preprocessed: $source"; return 1; }
  [ -f "$stamps/$key" ] && return 0
  clang-tidy --quiet -p "$build" "$source" 2>/dev/null || { echo "clang-tidy: $source"; return 1; }
  : > "$stamps/$key"
}
export -f check_one
printf '%s\n' "${sources[@]}" | xargs -P "${AUBURNFOLD_JOBS:-8}" -I{} bash -c 'check_one "$1"' _ {}
echo "clang-tidy: ${#sources[@]} files clean"
