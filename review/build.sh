#!/usr/bin/env bash
# Builds what the scripts start: the stand-ins are Python only, so they are compiled
# to see that they are sound, and nothing is written.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/*.py review/*/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
