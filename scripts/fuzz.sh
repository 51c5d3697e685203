#!/bin/sh
# Runs all fuzz targets of a build folder on their corpus (tests/fuzz/corpus) and on inputs
# generated from it. The seed and the number of inputs are fixed, so that the result is the same on
# each run.
#
#   scripts/fuzz.sh BUILD            the number of inputs below
#   scripts/fuzz.sh BUILD SECONDS    this time per target, for a longer search
#
# Fails if a target fails. The failing input is written to BUILD/found-TARGET-HASH; run
# BUILD/fuzz_TARGET on this file to reproduce the failure.
set -eu
cd "$(dirname "$0")/.."
build=$1
seconds=${2:-}

# Number of inputs that each target handles in about ten seconds.
runCountOf() {
    case $1 in
    files) echo 40000 ;;
    store) echo 80000 ;;
    requests | replies) echo 100000 ;;
    calls) echo 200000 ;;
    datagrams) echo 300000 ;;
    esac
}

fuzzOne() {
    if [ -n "$seconds" ]; then
        limit=-max_total_time=$seconds
    else
        limit=-runs=$(runCountOf "$1")
    fi
    dictionary=tests/fuzz/words/$1
    if [ -f "$dictionary" ]; then dictionary=-dict=$dictionary; else dictionary=; fi
    generated=$(mktemp -d)
    status=0
    # shellcheck disable=SC2086 # $dictionary is no argument or one
    "$build/fuzz_$1" -seed=1 "$limit" -max_len=4096 $dictionary \
        -artifact_prefix="$build/found-$1-" \
        "$generated" "tests/fuzz/corpus/$1" 2>"$build/fuzz_$1.log" || status=$?
    rm -r "$generated"
    echo "fuzz: $1: $(grep -E '^(Done|SUMMARY|fuzz:)' "$build/fuzz_$1.log" | tr '\n' ' ')"
    return $status
}

# Runs two targets at a time.
failed=0
for pair in "calls datagrams" "files replies" "requests store"; do
    for target in $pair; do
        fuzzOne "$target" &
        eval "pid_$target=$!"
    done
    for target in $pair; do
        eval "wait \$pid_$target" || failed=1
    done
done
exit $failed
