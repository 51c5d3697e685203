#!/bin/sh
# Runs all fuzzing targets of a build folder: on their corpus (tests/fuzz/corpus) and on inputs made
# from it. Seed and number of inputs are fixed, so that the verdict is the same on each run.
#
#   scripts/fuzz.sh BUILD            as many inputs as below
#   scripts/fuzz.sh BUILD SECONDS    for so long a target, to look for more
#
# Fails where a target does. What it found lies in the build folder: found-TARGET-HASH; hand it to
# BUILD/fuzz_TARGET to see it again.
set -eu
cd "$(dirname "$0")/.."
build=$1
seconds=${2:-}

# As many inputs as each does within some ten seconds.
runsOf() {
    case $1 in
    files) echo 40000 ;;
    store) echo 80000 ;;
    requests | replies) echo 100000 ;;
    calls) echo 200000 ;;
    datagrams) echo 300000 ;;
    esac
}

fuzzOne() {
    if [ -n "$seconds" ]; then bound=-max_total_time=$seconds; else bound=-runs=$(runsOf "$1"); fi
    words=tests/fuzz/words/$1
    if [ -f "$words" ]; then words=-dict=$words; else words=; fi
    made=$(mktemp -d)
    status=0
    # shellcheck disable=SC2086 # none, or one word
    "$build/fuzz_$1" -seed=1 "$bound" -max_len=4096 $words -artifact_prefix="$build/found-$1-" \
        "$made" "tests/fuzz/corpus/$1" 2>"$build/fuzz_$1.log" || status=$?
    rm -r "$made"
    echo "fuzz: $1: $(grep -E '^(Done|SUMMARY|fuzz:)' "$build/fuzz_$1.log" | tr '\n' ' ')"
    return $status
}

# Two at a time.
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
