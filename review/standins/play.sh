#!/usr/bin/env bash
# Plays the case in the folder $1: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't
# run. Whatever ends the driver, each run leaves a record.txt of its own, and the processes that it
# started are ended by their recorded ids.
case_folder="$1"
folder="$(mktemp -d)"
export REVIEW_FOLDER="$folder"
rm -f "$case_folder/record.txt"
PYTHONPATH="$case_folder/../standins" timeout --kill-after=3 --signal=TERM 112 \
  python3 "$case_folder/case.py" &
driver=$!
trap 'kill -TERM "$driver" 2>/dev/null' TERM INT HUP
wait "$driver"
code=$?
while kill -0 "$driver" 2>/dev/null; do
  wait "$driver"
  code=$?
done
# The driver removes the file of a process that it has ended.
for file in "$folder"/*.pid; do
  [ -e "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
done
if [ ! -e "$case_folder/record.txt" ]; then
  echo "{\"what\": \"verdict\", \"verdict\": \"could not run: the driver ended with $code\"}" \
    >"$case_folder/record.txt"
  code=2
fi
rm -rf "$folder"
case $code in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
