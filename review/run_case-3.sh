#!/usr/bin/env bash
# run_case-3.sh PROGRAM CASE: runs one case of the third review and writes its record.txt.
# The VMs are started with the `run` line of the deploy file. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
edge=$(sed -n 's/^run = "\(.*\)"/\1/p' deploy/system.toml)
program=target/review-3/$1
if [[ ! -x $edge || ! -x $program ]]; then
  echo "not built: $edge, $program" >&2
  exit 2
fi
exec "$program" "review/$2/record.txt" "$edge"
