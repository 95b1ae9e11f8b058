#!/bin/sh
# run_case-2.sh PROGRAM FOLDER: runs a case's program in a temporary folder. Exits with 1
# if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$(cd "$2" && pwd)
program=$root/target/review-2/$1
if [ ! -x "$program" ] || [ ! -x "$root/target/wasabispar-edge" ]; then
  echo "build the deploy file and review/build-2.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
CASE_ROOT=$root CASE_FOLDER=$folder CASE_TEMPORARY=$temporary \
  timeout -s KILL 118 "$program"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
