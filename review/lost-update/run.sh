#!/usr/bin/env bash
# Builds and runs lost_part.cpp against the libraries in target/, which the build of deploy/system.toml makes.
set -euo pipefail
cd "$(dirname "$0")/../.."
program=$(mktemp)
trap 'rm -f "$program"' EXIT
g++ -std=c++20 -O1 -Ilibs/base/include -Ilibs/director/include -o "$program" review/lost-update/lost_part.cpp \
    target/libs/director/libguavaramp_director.a target/libs/base/libguavaramp_base.a -lxxhash
"$program"
