#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
number=$(basename "$(dirname "$0")")
[ -x target/poplarspool ] && [ -x "review/build/case$number" ] || exit 2
exec "review/build/case$number" "review/$number/record.txt"
