#!/bin/sh
# Runs clang-tidy on the sources. The argument is the build folder that contains
# compile_commands.json (default build).
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' \
    | xargs -P "$(nproc)" -n 2 clang-tidy-14 --quiet -p "$build"
