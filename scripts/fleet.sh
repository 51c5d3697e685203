#!/bin/sh
# Starts a small fleet on loopback addresses: platform, engines, services and instances, one process
# each.
#
#   scripts/fleet.sh BUILD INSTANCES ENGINES SERVICES [COMMAND...]
#
# Runs COMMAND with the variables below, or waits for Ctrl-C without one, and then stops each
# process by its pid. scripts/demo.sh sources this file; scripts/measure.sh runs it. Lists are
# separated by commas.
#
# Set for COMMAND:
#   FLEET_DIR        temporary folder: settings, inventory, rules, logs, and a pid file per process
#   FLEET_ASK        caller addresses of the instances
#   FLEET_OPERATORS  operator addresses of the instances
#   FLEET_PIDS       pids of the instances
#   FLEET_ENGINES    addresses of the engines
#   FLEET_SERVICES   addresses of the services
#
# Read:
#   FLEET_NET        third byte of all loopback addresses, to run several fleets at once (default 0)
#   FLEET_KEEP       if not empty, FLEET_DIR is not removed at the end
#   ENGINE_OPTIONS   additional arguments of each stand-in engine
#   ENGINE_TRAITS    additional lines of the engines' runner_defaults in the inventory (default
#                    kv_pieces = 1000)
#   LOG_LEVEL        log level of the instances (default info)
set -eu

FLEET_NET=${FLEET_NET:-0}
platformAddress=127.0.$FLEET_NET.2:7000

instanceHost() { echo "127.0.$FLEET_NET.$((10 + $1))"; }
engineAddress() { echo "127.0.$FLEET_NET.$((100 + $1)):9000"; }
serviceAddress() { echo "127.0.$FLEET_NET.$((200 + $1)):9100"; }
zoneOf() { echo "zone-$(($1 % 2))"; }

# addressList FUNCTION COUNT SUFFIX: prints FUNCTION(1)SUFFIX,...,FUNCTION(COUNT)SUFFIX.
addressList() {
    list=
    for index in $(seq 1 "$2"); do list=$list,$($1 "$index")$3; done
    echo "${list#,}"
}

# spawn NAME COMMAND...: starts a process and writes its pid to FLEET_DIR/NAME.pid.
spawn() {
    name=$1
    shift
    "$@" >"$FLEET_DIR/$name.out" 2>"$FLEET_DIR/$name.log" &
    echo $! >"$FLEET_DIR/$name.pid"
}

pidOf() { cat "$FLEET_DIR/$1.pid"; }

pidList() {
    list=
    for index in $(seq 1 "$1"); do list=$list,$(pidOf "instance-$index"); done
    echo "${list#,}"
}

# Stops the load and the instances before the platform, which instances deregister from.
stopFleet() {
    for kind in load instance engine service platform; do
        for file in "$FLEET_DIR/$kind"*.pid; do
            if [ -f "$file" ]; then stopProcess "$(cat "$file")" "$kind"; fi
        done
    done
    if [ -z "${FLEET_KEEP:-}" ]; then rm -rf "$FLEET_DIR"; fi
}

# Kills instances: at the end of a run a graceful shutdown, which takes leave.grace_seconds, has no
# use.
stopProcess() {
    if [ "$2" = instance ]; then signal=KILL; else signal=TERM; fi
    kill -$signal "$1" 2>/dev/null || true
    wait "$1" 2>/dev/null || true
}

writeSettings() {
    host=$(instanceHost "$1")
    cat >"$FLEET_DIR/instance-$1.toml" <<END
instance = "instance-$1"
zone = "$(zoneOf "$1")"
deployment = "demo"
caller.address = "$host:8080"
operator.address = "$host:8090"
peer.address = "$host:7946"
peer.key = "a-secret-of-the-demo-fleet-only-0001"
peer.seeds = ["$(instanceHost 1):7946"]
platform.store = "$platformAddress"
platform.instances = "$platformAddress"
platform.weights = "$platformAddress"
leave.grace_seconds = 3
log.level = "${LOG_LEVEL:-info}"
END
}

# writeInventory FILE ENGINES SERVICES [DRAINED-ENGINE]
writeInventory() {
    {
        cat <<END
deployment = "demo"
zones = ["zone-0", "zone-1"]

[[pools]]
id = "engines"
kind = "engine"
serves = [{ model = "demo-llm", version = "1" }]

[[pools]]
id = "receipts"
kind = "service"
service = "receipts"

[[runner_defaults]]
pool = "engines"
checks_fence = true
may_carry = [{ model = "demo-llm", version = "1" }]
${ENGINE_TRAITS:-kv_pieces = 1000}
END
        for index in $(seq 1 "$2"); do
            printf '\n[[runners]]\nid = "engine-%s"\npool = "engines"\nzone = "%s"\n' \
                "$index" "$(zoneOf "$index")"
            printf 'address = "%s"\n' "$(engineAddress "$index")"
            if [ "$index" = "${4:-}" ]; then echo 'draining = true'; fi
        done
        for index in $(seq 1 "$3"); do
            printf '\n[[runners]]\nid = "receipts-%s"\npool = "receipts"\nzone = "%s"\n' \
                "$index" "$(zoneOf "$index")"
            printf 'address = "%s"\n' "$(serviceAddress "$index")"
        done
    } >"$1"
}

writeRules() {
    cat >"$FLEET_DIR/rules.toml" <<END
address_keep_seconds = 2

[[classes]]
name = "live"
rank = 0

[[classes]]
name = "later"
rank = 10

[[requests]]
name = "receipts-run-once"
service = "receipts"
method = "POST"
class = "live"
repeat = "never"
needs_key = true

[[plans]]
pool = "engines"
goodput_weight = 1.0
END
}

# startFleet BUILD INSTANCES ENGINES SERVICES
startFleet() {
    build=$(cd "$1" && pwd)
    FLEET_DIR=$(mktemp -d)
    FLEET_ASK=$(addressList instanceHost "$2" :8080)
    FLEET_OPERATORS=$(addressList instanceHost "$2" :8090)
    FLEET_ENGINES=$(addressList engineAddress "$3" '')
    FLEET_SERVICES=$(addressList serviceAddress "$4" '')
    export FLEET_DIR FLEET_ASK FLEET_OPERATORS FLEET_ENGINES FLEET_SERVICES
    trap stopFleet EXIT
    trap 'exit 130' INT TERM

    spawn platform "$build/poplarspool-standin" platform --listen "$platformAddress"
    for index in $(seq 1 "$3"); do
        # shellcheck disable=SC2086 # the options are several arguments
        spawn "engine-$index" "$build/poplarspool-standin" engine \
            --listen "$(engineAddress "$index")" --models demo-llm@1 ${ENGINE_OPTIONS:-}
    done
    for index in $(seq 1 "$4"); do
        spawn "service-$index" "$build/poplarspool-standin" service \
            --listen "$(serviceAddress "$index")" --name receipts
    done
    "$build/poplarspool-bench" wait --to "$FLEET_ENGINES,$FLEET_SERVICES" --path /load
    for index in $(seq 1 "$2"); do
        writeSettings "$index"
        spawn "instance-$index" "$build/poplarspool" serve --settings \
            "$FLEET_DIR/instance-$index.toml"
    done
    FLEET_PIDS=$(pidList "$2")
    export FLEET_PIDS
    writeInventory "$FLEET_DIR/inventory.toml" "$3" "$4"
    writeRules
    "$build/poplarspool-bench" wait --to "$FLEET_OPERATORS" --path /status
    "$build/poplarspool" apply --to "${FLEET_OPERATORS%%,*}" \
        --inventory "$FLEET_DIR/inventory.toml" --rules "$FLEET_DIR/rules.toml"
    "$build/poplarspool-bench" wait --to "$FLEET_ASK" --path /v1/models --text demo-llm
}

if [ "${0##*/}" = fleet.sh ]; then
    if [ $# -lt 4 ]; then
        echo "usage: fleet.sh BUILD INSTANCES ENGINES SERVICES [COMMAND...]" >&2
        exit 2
    fi
    startFleet "$1" "$2" "$3" "$4"
    shift 4
    if [ $# -gt 0 ]; then
        "$@"
    else
        echo "callers: $FLEET_ASK  operators: $FLEET_OPERATORS  folder: $FLEET_DIR; Ctrl-C ends it"
        wait
    fi
fi
