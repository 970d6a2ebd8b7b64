#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10. They are Python programs without dependencies, so this only compiles
# them, which finds errors early. The director is built with the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/stand_ins_2.py review/[0-9]*/case.py review/oversized-packet/send.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
PYTHON
