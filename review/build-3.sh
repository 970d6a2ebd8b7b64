#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. They are written in Python, so this only checks that the
# interpreter can load them.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import stand_ins_3'
