#!/bin/sh
# Checks the stand-ins that the scripts start. They are Python programs without dependencies, so
# nothing has to be built beyond the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 - lib/*.py */case.py <<'CHECK'
import sys
for name in sys.argv[1:]:
    with open(name) as text:
        compile(text.read(), name, "exec")
CHECK
