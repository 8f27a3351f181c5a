#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases: they use Python's own modules only,
# and read nothing but the routers' build under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
test -d target/deps
for file in review/second_*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
