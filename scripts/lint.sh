#!/bin/sh
# Runs clang-tidy over the sources, given the build folder that has compile_commands.json.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' \
    | xargs -P "$(nproc)" -n 2 clang-tidy-14 --quiet -p "$build"
