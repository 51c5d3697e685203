#!/bin/sh
# Checks the specifications in model/ with spin: each property must hold in a complete search, and
# spin must find a violation when one of the safeguards or assumptions is removed.
# Prints one line per search; the exit status is not 0 if a result differs. See docs/MODEL.md.
# Usage: scripts/model.sh [PARALLEL_SEARCHES]
set -eu

root=$(cd "$(dirname "$0")/.." && pwd)
depth=2000000   # steps; a search that reaches this limit is not complete
memory=2000     # MB per search
time_limit=240  # seconds per search

# Model, variant (- for none), property, removed safeguard (- for none), macros.
searches() {
    cat <<'LIST'
views - NO_WORK_AFTER_ORDER -
orders checks_fence ONE_STATE - -DWINDOW=1 -DLATE_FOREVER
orders checks_fence NO_OLD - -DWINDOW=1 -DLATE_FOREVER
orders checks_fence ONE_OPEN - -DWINDOW=1 -DLATE_FOREVER
orders checks_fence AUTHORITY - -DWINDOW=1
orders ignores_fence ONE_STATE - -DIGNORES_FENCE
orders ignores_fence NO_OLD - -DIGNORES_FENCE
orders ignores_fence ONE_OPEN - -DIGNORES_FENCE
orders ignores_fence AUTHORITY - -DIGNORES_FENCE
orders checks_fence NO_OLD FENCE_CHECK -DWINDOW=1 -DLATE_FOREVER
orders checks_fence ONE_STATE CONDITIONAL_WRITE -DWINDOW=1 -DLATE_FOREVER
orders checks_fence ONE_OPEN SETTLE_BEFORE_WRITE -DWINDOW=1 -DLATE_FOREVER
orders checks_fence AUTHORITY SETTLE_WAIT -DWINDOW=1
orders ignores_fence ONE_STATE CONDITIONAL_WRITE -DIGNORES_FENCE
orders ignores_fence NO_OLD SETTLE_BEFORE_WRITE -DIGNORES_FENCE
orders ignores_fence NO_OLD WINDOW -DIGNORES_FENCE
orders ignores_fence NO_OLD SUCCESSOR_WAIT -DIGNORES_FENCE
orders ignores_fence NO_OLD GUARD -DIGNORES_FENCE
orders ignores_fence NO_OLD WINDOW_END_AT_SETTLE -DIGNORES_FENCE
claims - AT_MOST_ONCE -
claims - NOT_RUN_IS_TRUE -
claims - AT_MOST_ONCE CONDITIONAL_WRITE
claims - AT_MOST_ONCE DECISION_BEFORE_DISPATCH
claims - AT_MOST_ONCE EXACT_NONCE
claims - AT_MOST_ONCE NOT_DISPATCHED_CHECK
claims - AT_MOST_ONCE DEATH_MAY_HAVE_RUN
claims - NOT_RUN_IS_TRUE FINAL_GIVE_UP
views - NEVER_BACK -
views - IN_FORCE -
views - NEVER_BACK MONOTONIC_VERSIONS
views - IN_FORCE ACKNOWLEDGEMENT_OF_ALL
views - NO_WORK_AFTER_ORDER ACKNOWLEDGEMENT_OF_ALL
views - NO_WORK_AFTER_ORDER HELD_ACKNOWLEDGEMENT
views - NO_WORK_AFTER_ORDER FRESHNESS
views - NO_WORK_AFTER_ORDER WAIT_FOR_FRESHNESS
views - NO_WORK_AFTER_ORDER EARLY_NEWS_OF_LIFE
news - IN_TIME -
news - IN_TIME AGE
news - IN_TIME HOLE_CHECK
news - IN_TIME CLOCK_THAT_COUNTS_ON
copies - CURRENT -
copies - NEVER_BACK -
copies - CURRENT EPOCH
copies - NEVER_BACK MEMORY
copies - STARTED -
copies - STARTED MARKS
copies - STARTED EARLY_MARKS
copies - STARTED MEMORY
usage - ONE_REPORT -
usage - ONE_REPORT NOTE_FIRST
usage - ONE_REPORT CONDITIONAL_WRITE
LIST
}

search() {
    model=$1 variant=$2 property=$3 removed=$4
    shift 4
    folder=$(mktemp -d "$work/search.XXXXXX")
    cd "$folder"
    macros="-DP_$property $*"
    [ "$removed" = - ] || macros="$macros -DNO_$removed"
    label="model=$model"
    [ "$variant" = - ] || label="$label variant=$variant"
    label="$label property=$(echo "$property" | tr '[:upper:]' '[:lower:]')"
    # shellcheck disable=SC2086 # macros are several arguments
    if ! spin -a $macros "$root/model/$model.pml" >log 2>&1 ||
        ! gcc -O2 -w -DSAFETY -DMEMLIM=$memory -o pan pan.c >>log 2>&1; then
        cat log >&2
        result="not built"
    else
        timeout $time_limit ./pan -m$depth -w23 >log 2>&1 || true
        result=$(verdict)
    fi
    states=$(sed -n 's/^ *\([0-9][0-9.e+]*\) states, stored.*/\1/p' log)
    if [ "$removed" = - ]; then
        echo "$label states=${states:-?} result=$result"
        [ "$result" = holds ] || echo "$label" >>"$work/failed"
    else
        removedName=$(echo "$removed" | tr '[:upper:]' '[:lower:]')
        echo "$label without=$removedName states=${states:-?} result=$result"
        [ "$result" = "violation found" ] || echo "$label without=$removedName" >>"$work/failed"
    fi
    rm -rf "$folder"
}

# Prints the result of the search from the output of pan. Only a complete search shows that a
# property holds.
verdict() {
    if grep -q 'assertion violated' log; then
        echo "violation found"
    elif grep -q 'errors: 0' log &&
        ! grep -Eq 'depth too small|out of memory|not completed|interrupted|pan:.*reached' log; then
        echo holds
    else
        echo "search not complete"
    fi
}

if [ "${1:-}" = --search ]; then
    shift
    search "$@"
    exit 0
fi

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
trap 'exit 1' INT TERM
export work
searches | xargs -P "${1:-6}" -L 1 "$0" --search
if [ -s "$work/failed" ]; then
    echo "model: searches with an unexpected result:" >&2
    cat "$work/failed" >&2
    exit 1
fi
echo "model: $(searches | wc -l) searches as expected"
