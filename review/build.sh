#!/bin/sh
# Builds what the scripts start beside the entries: the project's stand-ins and the review's own, all
# of them Python modules, against the packages that the deploy file's build has put in target/deps.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH=target/deps
python3 -m compileall -q standins ragworttiller review || exit 1
python3 -c "
import sys
sys.path.insert(0, 'review/lib')
import harness
"
