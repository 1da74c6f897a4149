#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption, and the rule has to hold.
here="$(cd "$(dirname "$0")" && pwd)"
export TROUBLE="${TROUBLE:-1}"
exec bash "$here/../standins/play.sh" "$here"
