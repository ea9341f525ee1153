#!/bin/sh
# Builds what the scripts of the second review start, after the build of the deploy file.
# The stand-ins are Python modules of the standard library: they are compiled to find errors early.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PYTHONPYCACHEPREFIX="$out" python3 -m compileall -q review/platform2 review/[6-9] $(ls -d review/10 2>/dev/null || true)
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 -c "import ragworttiller.entry_process"
echo "build-2: ok"
