#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be used. They are Python modules and need no build.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; sys.dont_write_bytecode = True; sys.path.insert(0, "standins"); import standins'
[ -x ../target/bin/jasminewood-platform ] || echo "note: build the deploy file first"
