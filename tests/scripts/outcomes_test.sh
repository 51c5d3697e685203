#!/usr/bin/env bash
# Tests scripts/outcomes.sh; run by ctest in the root of the repository.
set -euo pipefail
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
failures=0

# expect NAME EXPECTED ACTUAL
expect() {
    [ "$2" = "$3" ] && return 0
    echo "$1: expected" "$2" "but got" "$3" >&2
    failures=$((failures + 1))
}

# line SECOND ROUTE WORKSPACE STATUS SENDS FAULT FIRST TOOK: prints a request_end line as an instance
# writes it. Empty values must be given as '""'.
line() {
    echo "at=2026-01-31T08:15:0$1.250Z/0 instance=i1 event=request_end request=q digest=d route=$2" \
        "workspace=$3 status=$4 runner=r sends=$5 resumes=\"\" after_event=\"\" fault=$6" \
        "retry_after_s=\"\" first_ms=$7 took_ms=$8 routes_version=3"
}

# cells PATTERN: prints the columns after the key of the row that begins with the pattern.
cells() { sed -n "s/^$1  *//p" "$folder/table" | tr -s ' '; }

{
    line 1 chat w1 passed 1 '""' 100 900
    line 1 chat w2 passed 2 '""' 300 1100
    line 1 chat w1 passed 1 closed 200 400
    line 1 chat w1 503 0 no_room '""' 0
    line 1 chat w1 none 1 caller_gone '""' 50
    line 2 chat w1 503 1 runner_503 5 5
} >"$folder/a.log"
{
    line 1 plain '""' 404 1 '""' 5 10
    line 1 plain '""' 401 0 unknown_key '""' 0
    line 1 plain '""' 502 1 closed '""' 20
    line 1 plain '""' 429 1 '""' 5 10
    line 1 '"a b=\"c"' '""' 200 1 '""' 5 10
    echo 'at=2026-01-31T08:15:01.250Z/1 instance=i2 event=send_end fault=closed'
    echo 'at=2026-01-31T08:15:01.250Z/2 instance=i2 event=note text="x event=request_end y"'
    echo 'at=2026-01-31T08:15:01.250Z/3 instance=i2 event=log_left_out lines=7'
} >"$folder/b=2.log"

scripts/outcomes.sh "$folder/a.log" "$folder/b=2.log" >"$folder/table"
at='2026-01-31T08:15:0'
# Guards against ends that are counted as others, such as a broken stream as answered.
expect streams '5 2 1 1 1 200 490' "$(cells "${at}1  chat")"
# Guards against a runner's own 503 that is counted as refused, and seconds that are merged.
expect second '1 0 0 1 0 5 5' "$(cells "${at}2  chat")"
# Guards against a runner's 4xx that is counted as refused.
expect plain '4 2 1 1 0 5 10' "$(cells "${at}1  plain")"
# Guards against totals that leave out a second.
expect total '6 2 1 2 1 151 409' "$(cells "total  *chat")"
# Guards against quoted values that are split at their spaces.
expect quoted '1 1 0 0 0 5 10' "$(cells "${at}1  \"a b=\\\\\"c\"")"
# Guards against text of callers that is taken for an event, and lost lines that nobody notices.
expect summary 'requests: 11, other events: 3, broken lines: 0' "$(grep '^requests:' "$folder/table")"
expect leftOut 1 "$(grep -c 'left out 7 lines' "$folder/table")"

# Guards against --by workspace that groups by route, and standard input that is not read.
cat "$folder/a.log" "$folder/b=2.log" | scripts/outcomes.sh --by workspace >"$folder/table"
expect workspace '1 1 0 0 0 300 1100' "$(cells "${at}1  w2")"
expect noWorkspace '5 3 1 1 0 5 10' "$(cells "total  *-")"

# Guards against one broken line that hides all others, or that nobody hears of.
{
    line 1 chat w1 passed 1 '""' 100 900 | sed 's/ routes_version=3//'
    line 1 chat w1 passed 1 '"open' 100 900
    line 1 chat w1 maybe 1 '""' 100 900
    line 1 chat w1 passed 1 '""' 100 9x
    echo 'terminate called without an active exception'
    line 1 chat w1 passed 1 '""' 100 900
} >"$folder/broken.log"
(cd "$folder" && "$OLDPWD/scripts/outcomes.sh" broken.log) >"$folder/table"
expect afterBroken '1 1 0 0 0 100 900' "$(cells "${at}1  chat")"
expect broken 'requests: 1, other events: 0, broken lines: 5' "$(grep '^requests:' "$folder/table")"
expect named '1 2 3 4 5' "$(sed -n 's/^broken: .*broken.log:\([0-9]*\): .*/\1/p' "$folder/table" \
    | tr '\n' ' ' | sed 's/ $//')"

# Guards against mistyped arguments that give an empty table and success.
for arguments in '--by runner' '--by' '--per route' "$folder/missing.log" "$folder"; do
    status=0
    # shellcheck disable=SC2086 # split into arguments
    scripts/outcomes.sh $arguments </dev/null >"$folder/out" 2>"$folder/error" || status=$?
    expect "$arguments" 2 "$status"
    [ -s "$folder/error" ] || expect "$arguments" 'an error' nothing
done
# Guards against help that is reported as an error.
expect help 1 "$(scripts/outcomes.sh --help | grep -c '^usage:')"
exit $((failures > 0))
