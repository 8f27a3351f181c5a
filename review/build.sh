#!/usr/bin/env bash
# Builds what the scripts start: compiles the stand-ins, which are Python only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
