#!/bin/sh
# Builds the stand-ins: they need nothing but Python's standard library.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q .
