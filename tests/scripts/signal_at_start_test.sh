#!/usr/bin/env bash
# Tests signals to a process that reads its settings; run by ctest in the root of the repository.
# Usage: signal_at_start_test.sh PROGRAM
set -euo pipefail
program=$1
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
trap '' PIPE
invalid_input=2

# Guards against a process that SIGHUP ends before it has read its settings.
mkfifo "$folder/settings.toml"
"$program" gateway --settings "$folder/settings.toml" 2>"$folder/errors" &
process=$!
exec 3>"$folder/settings.toml" # Waits until the process reads.
kill -HUP "$process"
echo 'no settings' >&3 2>/dev/null || true
exec 3>&-
status=0
wait "$process" || status=$?
if [ "$status" -ne "$invalid_input" ]; then
    echo "expected status $invalid_input after SIGHUP at the start, but got $status" >&2
    exit 1
fi
