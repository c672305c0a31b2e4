#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python sources and need no build, and
# no case starts the project's own stand-ins. Checks that the interpreter and
# the node of the deploy file's build are there.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 >/dev/null
python3 -B -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name, encoding="utf-8").read(), name)' \
  review/stand-ins-2/stand_ins.py review/[0-9]*/case.py
test -x target/Services/auburnfold-node/auburnfold-node
