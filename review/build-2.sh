#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs only the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review-2/$(basename "$source" .cpp)"
done
