#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2. Needs the packages of
# the deploy file only. The gateway itself is built with the command of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/$name" "$source"
done
