#!/bin/sh
# The measurements of docs/BENCHMARKS.md and docs/CAPACITY.md.
#
#   scripts/measure.sh path BUILD     what an instance adds on the way to an engine; 1,000 streams
#   scripts/measure.sh slopes BUILD   control cost at 3, 6, 12 and 24 instances and as many engines
set -eu
cd "$(dirname "$0")/.."
usage() {
    echo "usage: measure.sh path|slopes BUILD" >&2
    exit 2
}
[ $# -eq 2 ] || usage
build=$(cd "$2" && pwd)
bench=$build/poplarspool-bench
LOG_LEVEL=${LOG_LEVEL:-warn}
export LOG_LEVEL

# An engine that adds little time of its own and takes 1,000 streams at once.
measurePath() {
    ENGINE_OPTIONS='--batch 2000 --kv-pieces 200000 --prefill-rate 10000000 --decode-rate 20000
        --chunk 8192 --iteration-us 100'
    ENGINE_TRAITS='kv_pieces = 200000
concurrency = 2000
prefill_tokens_per_second = 10000000
decode_tokens_per_second = 20000'
    export ENGINE_OPTIONS ENGINE_TRAITS
    # shellcheck disable=SC2016 # expanded in the fleet's environment
    scripts/fleet.sh "$build" 1 1 1 sh -c '"$0" path --instance "$FLEET_ASK" \
        --instance-pid "$FLEET_PIDS" --engine "$FLEET_ENGINES" --model demo-llm' "$bench"
}

# idleAt COUNT: one line with the mean over all instances.
idleAt() {
    # shellcheck disable=SC2016 # expanded in the fleet's environment
    scripts/fleet.sh "$build" "$1" "$1" 1 sh -c 'sleep 10; "$0" idle --pids "$FLEET_PIDS" \
        --operators "$FLEET_OPERATORS" --seconds 30 --runners "$1"' "$bench" "$(($1 + 1))" \
        | grep '^mean '
}

measureSlopes() {
    rows=$(mktemp)
    for count in 3 6 12 24; do idleAt $count | tee -a "$rows"; done
    "$bench" slope --by instances --at 330 <"$rows"
    rm "$rows"
}

case $1 in
path) measurePath ;;
slopes) measureSlopes ;;
*) usage ;;
esac
