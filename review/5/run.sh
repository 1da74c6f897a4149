#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
PYTHONPATH="$here/../standins" timeout --kill-after=4 --signal=INT 114 python3 "$here/case.py"
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
