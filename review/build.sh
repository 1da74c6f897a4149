#!/usr/bin/env bash
# Compiles the stand-ins of the review, which need the standard library of Python only.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
python3 -m compileall -q "$here/standins"
