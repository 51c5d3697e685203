#!/bin/sh
# Runs the measurements of docs/BENCHMARKS.md and docs/CAPACITY.md.
#
#   scripts/measure.sh path BUILD     overhead of an instance between caller and engine; 1,000
#                                     streams
#   scripts/measure.sh tokens BUILD   CPU time of one instance with 60 streams at 23 ms per token
#   scripts/measure.sh slopes BUILD   control cost at 3, 6, 12 and 24 instances and as many engines
#   scripts/measure.sh site BUILD     control cost at 9 instances, 18 engines and 4 services
#   scripts/measure.sh force BUILD    time from an apply until it is in force on all instances
set -eu
cd "$(dirname "$0")/.."
usage() {
    echo "usage: measure.sh path|tokens|slopes|site|force BUILD" >&2
    exit 2
}
[ $# -eq 2 ] || usage
build=$(cd "$2" && pwd)
bench=$build/poplarspool-bench
LOG_LEVEL=${LOG_LEVEL:-warn}
export LOG_LEVEL

# Sets up engines that add little latency and can serve 1,000 streams concurrently.
setFastEngine() {
    ENGINE_OPTIONS='--batch 2000 --kv-pieces 200000 --prefill-rate 10000000 --decode-rate 20000
        --chunk 8192 --iteration-us 100'
    ENGINE_TRAITS='kv_pieces = 200000
concurrency = 2000
prefill_tokens_per_second = 10000000
decode_tokens_per_second = 20000'
    export ENGINE_OPTIONS ENGINE_TRAITS
}

measurePath() {
    setFastEngine
    # shellcheck disable=SC2016 # expanded in the fleet's environment
    scripts/fleet.sh "$build" 1 1 1 sh -c '"$0" path --instance "$FLEET_ASK" \
        --instance-pid "$FLEET_PIDS" --engine "$FLEET_ENGINES" --model demo-llm' "$bench"
}

# Measures the share of a core that an instance uses while each of 60 streams gets at most one token
# per 23 ms, and prints the summary of the load.
measureTokens() {
    setFastEngine
    ENGINE_OPTIONS="$ENGINE_OPTIONS --iteration-us 23000"
    # shellcheck disable=SC2016 # expanded in the fleet's environment
    scripts/fleet.sh "$build" 1 1 1 sh -c '
        "$0" load --ask "$FLEET_ASK" --models demo-llm --service-share 0 --mix 16:400 \
            --streams 60 --seconds 20 >"$FLEET_DIR/load.out" &
        sleep 5
        "$0" idle --pids "$FLEET_PIDS" --operators "$FLEET_OPERATORS" --seconds 10 | grep "^mean "
        wait $!
        cat "$FLEET_DIR/load.out"' "$bench"
}

# measureIdle INSTANCES ENGINES SERVICES: prints one line with the mean over all instances.
measureIdle() {
    # shellcheck disable=SC2016 # expanded in the fleet's environment
    scripts/fleet.sh "$build" "$1" "$2" "$3" sh -c 'sleep 10; "$0" idle --pids "$FLEET_PIDS" \
        --operators "$FLEET_OPERATORS" --seconds 30 --runners "$1"' "$bench" "$(($2 + $3))" \
        | grep '^mean '
}

measureSlopes() {
    rows=$(mktemp)
    for count in 3 6 12 24; do measureIdle $count $count 1 | tee -a "$rows"; done
    "$bench" slope --by instances --at 330 <"$rows"
    rm "$rows"
}

# measureApply COUNT: applies changed rules ten times on COUNT instances and engines, and prints the
# duration of each command.
measureApply() {
    # shellcheck disable=SC2016 # expanded in the fleet's environment
    scripts/fleet.sh "$build" "$1" "$1" 1 sh -c 'sleep 10; for turn in $(seq 1 10); do
        sed "s/^address_keep_seconds = .*/address_keep_seconds = $((2 + turn % 2))/" \
            "$FLEET_DIR/rules.toml" >"$FLEET_DIR/rules-next.toml"
        startedAt=$(date +%s%N)
        "$0" apply --to "${FLEET_OPERATORS%%,*}" --inventory "$FLEET_DIR/inventory.toml" \
            --rules "$FLEET_DIR/rules-next.toml" --wait 30 >"$FLEET_DIR/apply.out"
        echo "instances=$1 turn=$turn in_force_ms=$((($(date +%s%N) - startedAt) / 1000000))"
    done' "$build/poplarspool" "$1" | grep '^instances='
}

measureForce() {
    for count in 3 6 12 24; do measureApply $count; done
}

case $1 in
path) measurePath ;;
tokens) measureTokens ;;
slopes) measureSlopes ;;
site) measureIdle 9 18 4 ;;
force) measureForce ;;
*) usage ;;
esac
