#!/bin/sh
# Builds the stand-ins of the cases into review/build/. Needs g++ and nlohmann-json3-dev, which the
# deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/build
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread -o "review/build/case$number" "$source"
done
