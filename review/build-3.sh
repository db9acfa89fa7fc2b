#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are Python programs, so there is nothing to compile: this checks that
# the interpreter of scripts/packages.txt is there and that they are valid.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-3/harness.py 1[1-5]/case.py <<'CHECK'
import glob
import sys
for pattern in sys.argv[1:]:
    for path in glob.glob(pattern):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
CHECK
