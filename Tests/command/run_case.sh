#!/usr/bin/env bash
# Runs the program with a case's arguments in the case's folder and compares
# output and exit code with expected.txt.
set -uo pipefail
program=$1
folder=$2
cd "$folder" || exit 2
mapfile -t arguments <arguments.txt
seen=$("$program" "${arguments[@]}" 2>&1)
seen="$seen
exit code $?"
if [ "$seen" != "$(cat expected.txt)" ]; then
  diff <(echo "$seen") expected.txt
  exit 1
fi
