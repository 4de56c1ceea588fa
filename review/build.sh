#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python, so this checks that they, and the
# project's own store stand-in, load with what the build of the deploy file has made.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 1
fi
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import pathlib

import persimmonlane.standins.store
import review.harness.cases

for path in sorted(pathlib.Path("review").glob("[0-9]/*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
echo "the stand-ins are built"
