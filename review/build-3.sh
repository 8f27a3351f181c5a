#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases: they use Python's own modules only,
# and the routers run from the build of the deploy file under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
test -d target/deps
for file in review/third_*.py review/1[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
