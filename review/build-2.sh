#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs g++ and the JSON headers that the project uses.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=c++20 -O2 -Wall -Wextra"
g++ $flags -c review/support-2/Rig.cpp -o target/review-2/Rig.o
for source in review/support-2/*.cpp; do
    name=$(basename "$source" .cpp)
    test "$name" = Rig || g++ $flags "$source" target/review-2/Rig.o -o "target/review-2/$name" -lpthread
done
