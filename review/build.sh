#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they start, into target/review/. Needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/Case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread review/support/*.cpp "$source" -o "target/review/case-$number"
done
