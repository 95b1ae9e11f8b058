#!/usr/bin/env bash
# run_case.sh CASE RECORD: runs one case in a temporary folder and ends its processes.
set -u
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
trap 'kill "$child" 2>/dev/null; wait "$child"; exit 2' INT TERM
# The VMs are children of the stand-in and end with it.
timeout --foreground 118 target/review/standin "$1" target/wasabispar-edge "$folder" \
  "$2" "${TROUBLE:-1}" &
child=$!
wait "$child"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
