#!/usr/bin/env bash
# Shows what callers received, as a table by second and route or workspace, from the logs of all
# instances.
#
#   scripts/outcomes.sh [--by route|workspace] [FILE...]
#
# Reads the request_end lines of the files, or of standard input if there are none ("-" is standard
# input, too). All other events are skipped.
set -euo pipefail

usage() {
    cat <<'EOF'
usage: outcomes.sh [--by route|workspace] [FILE...]

Reads log lines of all instances from the files or from standard input, and prints a row per second
and route (or workspace), and a total per route (or workspace). A request counts in the second in
which it ended, by the instance's clock.

  asked          requests that ended
  answered       complete answers of runners with a status below 500
  refused        errors with the guarantee that the request has not run
  failed         other errors, and answers that broke off
  left           requests whose caller left before the end
  mean_first_ms  mean time to the first byte, of the requests that had one
  mean_took_ms   mean time from arrival to the end, of all of them

"-" stands for requests without a route or workspace, and for a mean of nothing. Lines that can't be
read are counted and named below the table.
EOF
}

fail() {
    echo "outcomes.sh: $1" >&2
    echo "usage: outcomes.sh [--by route|workspace] [FILE...]" >&2
    exit 2
}

by=route
files=()
while [ $# -gt 0 ]; do
    case $1 in
    --help)
        usage
        exit 0
        ;;
    --by)
        [ $# -ge 2 ] || fail "--by needs route or workspace"
        by=$2
        shift
        ;;
    --by=*) by=${1#--by=} ;;
    --)
        shift
        break
        ;;
    -?*) fail "unknown option $1" ;;
    *) files+=("$1") ;;
    esac
    shift
done
files+=("$@")
case $by in
route | workspace) ;;
*) fail "--by needs route or workspace, not '$by'" ;;
esac
for index in "${!files[@]}"; do
    file=${files[index]}
    [ "$file" = - ] && continue
    if [ ! -r "$file" ] || [ -d "$file" ]; then fail "can't read $file"; fi
    # awk would take a name like "a=b" for an assignment.
    case $file in
    /*) ;;
    *) files[index]=./$file ;;
    esac
done

# Values are compared as bytes, and sorted the same in all locales.
export LC_ALL=C
awk -v by="$by" '
# Splits a line into `field`, as src/base/journal.cpp writes it. Returns false if it is malformed.
function readFields(rest,    name, value) {
    split("", field)
    while (match(rest, /^[a-z_]+=/)) {
        name = substr(rest, 1, RLENGTH - 1)
        rest = substr(rest, RLENGTH + 1)
        if (!match(rest, /^"([^"\\]|\\.)*"/) && !match(rest, /^[^ ="\\]+/))
            return 0
        value = substr(rest, 1, RLENGTH)
        rest = substr(rest, RLENGTH + 1)
        if (!(name in field))
            field[name] = value == "\"\"" ? "" : value
        if (rest == "")
            return 1
        if (substr(rest, 1, 1) != " ")
            return 0
        rest = substr(rest, 2)
    }
    return 0
}

# Returns why a request_end line can not be counted; empty if it can. routes_version is the last
# field: without it, the end of the line is missing.
function findFault(    count, names, i) {
    count = split("route workspace status sends fault first_ms took_ms routes_version", names, " ")
    for (i = 1; i <= count; ++i) {
        if (!(names[i] in field))
            return "no " names[i]
    }
    if (field["status"] !~ /^([1-5][0-9][0-9]|passed|none)$/)
        return "status"
    if (field["sends"] !~ /^[0-9]+$/)
        return "sends"
    if (field["first_ms"] !~ /^[0-9]*$/)
        return "first_ms"
    if (field["took_ms"] !~ /^[0-9]+$/)
        return "took_ms"
    return ""
}

# The same rules as route_outcomes.cpp, by what the line says.
function findOutcome(    status, fault, isRunners) {
    status = field["status"]
    fault = field["fault"]
    if (fault == "caller_gone")
        return "left"
    if (status == "passed")
        return fault == "" ? "answered" : "failed"
    if (status == "none" || status + 0 >= 500 && status + 0 != 503)
        return "failed"
    # A refusal after a send always has a fault. With runner_5NN, the error of a runner was passed on.
    isRunners = field["sends"] + 0 > 0 && fault == "" || fault ~ /runner_5[0-9][0-9]/
    if (!isRunners)
        return "refused"
    return status + 0 == 503 ? "failed" : "answered"
}

function count(row, outcome) {
    ++asked[row]
    ++outcomes[row, outcome]
    took[row] += field["took_ms"]
    if (field["first_ms"] != "") {
        ++firsts[row]
        first[row] += field["first_ms"]
    }
}

function reportBroken(reason) {
    ++broken
    if (broken <= 20)
        brokenLines[broken] = (FILENAME == "" || FILENAME == "-" ? "standard input" : FILENAME) \
            ":" FNR ": " reason
}

function printRow(row, command,    parts, mean) {
    split(row, parts, "\t")
    mean = firsts[row] > 0 ? sprintf("%.0f", first[row] / firsts[row]) : "-"
    printf "%-19s  %-*s %8.0f %8.0f %8.0f %8.0f %8.0f %13s %12.0f\n", parts[1], width, parts[2], \
        asked[row], outcomes[row, "answered"], outcomes[row, "refused"], outcomes[row, "failed"], \
        outcomes[row, "left"], mean, took[row] / asked[row] | command
}

function printRows(areTotals,    row, command) {
    command = "sort"
    for (row in asked) {
        if ((row ~ /^total\t/) == areTotals)
            printRow(row, command)
    }
    close(command)
}

BEGIN { width = length(by) }

/^[ \t\r]*$/ { next }

!/^at=[0-9][0-9][0-9][0-9]-[0-9][0-9]-[0-9][0-9]T[0-9][0-9]:[0-9][0-9]:[0-9][0-9]\.[0-9]+Z\/[0-9]+ instance=/ {
    reportBroken("not an event")
    next
}

/ event=log_left_out lines=[0-9]+/ {
    match($0, / lines=[0-9]+/)
    leftOut += substr($0, RSTART + 7, RLENGTH - 7)
}

!/ event=request_end( |$)/ {
    ++others
    next
}

{
    if (!readFields($0)) {
        reportBroken("malformed or cut off")
        next
    }
    # The text can also be part of a quoted value.
    if (field["event"] != "request_end") {
        ++others
        next
    }
    fault = findFault()
    if (fault != "") {
        reportBroken(fault)
        next
    }
    ++counted
    key = field[by] == "" ? "-" : field[by]
    width = length(key) > width ? length(key) : width
    outcome = findOutcome()
    count(substr(field["at"], 1, 19) "\t" key, outcome)
    count("total\t" key, outcome)
}

END {
    printf "%-19s  %-*s %8s %8s %8s %8s %8s %13s %12s\n", "second", width, by, "asked", "answered", \
        "refused", "failed", "left", "mean_first_ms", "mean_took_ms"
    fflush()
    printRows(0)
    printRows(1)
    printf "\nrequests: %.0f, other events: %.0f, broken lines: %.0f\n", counted, others, broken
    if (leftOut > 0)
        printf "instances have left out %.0f lines (log_left_out): the table lacks requests\n", leftOut
    for (i = 1; i <= broken && i <= 20; ++i)
        print "broken: " brokenLines[i]
    if (broken > 20)
        printf "broken: %.0f more\n", broken - 20
}' "${files[@]}"
