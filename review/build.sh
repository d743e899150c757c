#!/usr/bin/env bash
# Checks that the stand-ins compile; they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-5]
