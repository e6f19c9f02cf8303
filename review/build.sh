#!/usr/bin/env bash
# Builds the stand-ins of the scripts: Python modules of the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins
