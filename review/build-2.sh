#!/usr/bin/env bash
# Builds what the scripts of the second review start. Their stand-ins, and the store
# stand-in of the project, are Python modules that need the packages of the deploy build.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/target/deps:$PWD" \
  python3 -c "import review.common2.site, persimmonlane.standins.store"
