#!/bin/sh
# Checks that the stand-ins of the third review can be loaded; they need no build.
set -e
cd "$(dirname "$0")/standins-3"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../../target/deps python3 -c "import backend, deployment, record, store"
