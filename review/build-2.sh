#!/bin/sh
# Checks the stand-ins of cases 6 to 10. They are Python programs without dependencies and need no build; the router is
# the one that the build of the deploy file makes.
set -eu
cd "$(dirname "$0")"
for file in standins-2/*.py [0-9]*/run.py; do
    case "$file" in [1-5]/*) continue ;; esac
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
