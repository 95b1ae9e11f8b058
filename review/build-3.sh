#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, with their stand-ins, into target/review-3/
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/case_*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/$name" "$source"
done
