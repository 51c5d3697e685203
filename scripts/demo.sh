#!/bin/sh
# Runs a fleet under load, with the files of examples/demo, through a role change, the draining of
# an engine by a new inventory and a SIGTERM to an entry instance. The last lines summarize the
# replies that callers received.
#
#   scripts/demo.sh BUILD
#
# Exits with 0 only if all three took place and no reply was duplicated, truncated or wrong.
set -eu
cd "$(dirname "$0")/.."
if [ $# -ne 1 ]; then
    echo "usage: demo.sh BUILD" >&2
    exit 2
fi
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
build=$(cd "$1" && pwd)
bench=$build/poplarspool-bench
host=127.0.$FLEET_NET.1
instances=$host:8001,$host:8002,$host:8003
operators=$host:8101,$host:8102,$host:8103
engines=$host:9101,$host:9102,$host:9103,$host:9104
services=$host:9201,$host:9202
roleChangeTimeout=90
drainSeconds=3

say() { echo "demo: $*"; }

fail() {
    say "failed: $*"
    exit 1
}

# readCount ENGINE NAME: reads a counter from the engine's records.
readCount() {
    "$bench" call --to "$1" --path /standin/records | sed "s/.*\"$2\":\([0-9]*\).*/\1/"
}

roleChanges() {
    sum=0
    for engine in $(echo "$engines" | tr , ' '); do
        sum=$((sum + $(readCount "$engine" changes)))
    done
    echo $sum
}

applyFiles() {
    "$build/poplarspool" apply --to "$host:8101" --inventory "$FLEET_DIR/$1" \
        --rules "$FLEET_DIR/rules.toml"
}

startDemo() {
    FLEET_DIR=$(mktemp -d)
    trap stopFleet EXIT
    trap 'exit 130' INT TERM
    for file in examples/demo/*.toml; do
        # Only goodput counts here, so that the gain of a role change exceeds its cost within
        # seconds.
        sed -e "s/127\.0\.0\./127.0.$FLEET_NET./g" -e 's/^goodput_weight = .*/goodput_weight = 1.0/' \
            "$file" >"$FLEET_DIR/${file##*/}"
    done
    spawn platform "$build/poplarspool-standin" platform --listen "$host:9001"
    for index in 1 2 3 4; do
        spawn "engine-$index" "$build/poplarspool-standin" engine --listen "$host:910$index" \
            --models demo-7b@1
    done
    for index in 1 2; do
        spawn "service-$index" "$build/poplarspool-standin" service --listen "$host:920$index" \
            --name desk
    done
    "$bench" wait --to "$engines,$services" --path /load
    for index in 1 2 3; do
        spawn "instance-$index" "$build/poplarspool" serve \
            --settings "$FLEET_DIR/settings-$index.toml"
    done
    "$bench" wait --to "$operators" --path /status
    applyFiles inventory.toml
    "$bench" wait --to "$instances" --path /v1/models --text demo-7b
}

# Sends requests until the file $FLEET_DIR/sending is removed.
startLoad() {
    touch "$FLEET_DIR/sending"
    spawn load "$bench" load --ask "$instances" --while "$FLEET_DIR/sending" --rate 24 \
        --streams 128 --mix 60:220,2400:12,2400:12,2400:12 --shift-seconds 12 --models demo-7b --services desk \
        --service-share 0.3 --records "$services" --callers 24 --time-limit-ms 60000
}

showRoleChange() {
    waited=0
    while [ "$(roleChanges)" -eq 0 ]; do
        if [ $waited -ge $roleChangeTimeout ]; then
            fail "no role change within $roleChangeTimeout s"
        fi
        sleep 1
        waited=$((waited + 1))
    done
    say "the mix has shifted to long prompts and an engine has changed its role"
}

showDrain() {
    say "applying an inventory in which engine-4 drains"
    applyFiles inventory-drain.toml
    sleep $drainSeconds
    before=$(readCount "$host:9104" started)
    sleep $drainSeconds
    if [ "$(readCount "$host:9104" started)" -ne "$before" ]; then
        fail "engine-4 still got new work $drainSeconds s after it was drained"
    fi
    say "engine-4 gets no new work"
}

showShutdown() {
    say "SIGTERM to entry-3"
    kill -TERM "$(pidOf instance-3)"
    status=0
    wait "$(pidOf instance-3)" || status=$?
    rm "$FLEET_DIR/instance-3.pid"
    if [ $status -ne 0 ]; then fail "entry-3 ended with status $status"; fi
    say "entry-3 has ended with status 0"
}

startDemo
say "3 instances, 4 engines and 2 services are up"
startLoad
showRoleChange
showDrain
showShutdown
sleep 5
rm "$FLEET_DIR/sending"
status=0
wait "$(pidOf load)" || status=$?
rm "$FLEET_DIR/load.pid"
cat "$FLEET_DIR/load.log"
say "role_changes=$(roleChanges) drains=1 sigterms=1"
cat "$FLEET_DIR/load.out"
exit $status
