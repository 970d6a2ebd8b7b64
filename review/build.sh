#!/bin/sh
# Builds what the scripts in review/ start. The stand-ins are Python programs that need nothing built; this checks that
# they can be read and that the build of deploy/system.toml has made the director.
set -eu
cd "$(dirname "$0")"
for source in stand_ins.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
test -x ../target/bin/guavaramp-director || {
    echo "target/bin/guavaramp-director is missing: build by deploy/system.toml first" >&2
    exit 2
}
