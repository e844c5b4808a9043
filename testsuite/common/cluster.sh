# Functions that start and stop a small service on loopback: the stand-ins of the platform and the workers, and
# daemons. Sourced by the cases. Needs: $build (build directory), $base (first port).
# Ports: base tables, +1 objects, +2 VM list, +10.. workers, +100.. endpoints, +20n+200 daemon n.

host=127.0.0.1
dir=$(mktemp -d)
pids=""
failures=0

say() { printf '%s\n' "$*"; }

# check DESCRIPTION COMMAND...: runs the command and reports whether it succeeded.
check() {
    description=$1
    shift
    if "$@"; then
        say "ok   $description"
    else
        say "FAIL $description"
        failures=$((failures + 1))
    fi
}

# launch NAME COMMAND...: starts a process of this case; its output goes to a log.
launch() {
    name=$1
    shift
    "$@" > "$dir/$name.log" 2>&1 &
    pid=$!
    pids="$pids $pid"
    eval "pid_$name=$pid"
}

stop_all() {
    for pid in $pids; do
        kill -CONT "$pid" 2> /dev/null || true
        kill -KILL "$pid" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    if [ "$failures" -ne 0 ] && [ -n "${KEEP_LOGS:-}" ]; then
        say "logs: $dir"
    else
        rm -rf "$dir"
    fi
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# wait_until SECONDS COMMAND...: polls until the command succeeds.
wait_until() {
    tries=$(($1 * 10))
    shift
    while [ "$tries" -gt 0 ]; do
        if "$@" > /dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
        tries=$((tries - 1))
    done
    return 1
}

tables=$host:$base
objects=$host:$((base + 1))
vms=$host:$((base + 2))
caller_of() { echo "$host:$((base + 200 + 20 * $1))"; }
operator_of() { echo "$host:$((base + 201 + 20 * $1))"; }
peer_of() { echo "$host:$((base + 202 + 20 * $1))"; }

start_platform() {
    launch tables "$build/src/standin/fescueledge-standin-tables" --listen "$tables"
    launch objects "$build/src/standin/fescueledge-standin-objects" --listen "$objects"
    launch vms "$build/src/standin/fescueledge-standin-vms" --listen "$vms"
    wait_until 10 curl -sf "http://$vms/vms"
}

# start_workers DATA_CENTRE INDEX COUNT
start_workers() {
    launch "workers$2" "$build/src/standin/fescueledge-standin-workers" --listen "$host:$((base + 10 + $2))" \
        --endpoint-port "$((base + 100 + 20 * $2))" --vms "$vms" --data-centre "$1" --prefix "$1-w" --workers "$3"
}

workers_address() { echo "$host:$((base + 10 + $1))"; }

# fault NAME JSON: sets the faults of a stand-in (tables, objects, vms or an address).
fault() {
    case $1 in
        tables) address=$tables ;;
        objects) address=$objects ;;
        vms) address=$vms ;;
        *) address=$1 ;;
    esac
    curl -sf -X POST -d "$2" "http://$address/faults" > /dev/null
}

# list_node N DATA_CENTRE: puts the entry VM into the VM list.
list_node() {
    curl -sf -X PUT "http://$vms/vms/entry-$1" -d "{\"name\":\"entry-$1\",\"kind\":\"entry\",\"state\":\"live\",
        \"data_centre\":\"$2\",\"rack\":\"\",\"address\":\"$(peer_of "$1")\",\"endpoint_address\":\"\",
        \"capacity\":{\"milli_cores\":0,\"memory_mb\":0,\"accelerators\":0}}" > /dev/null
}

# start_node N DATA_CENTRE
start_node() {
    cat > "$dir/entry-$1.ini" << SETTINGS
[node]
name = entry-$1
data-centre = $2

[listen]
caller = $(caller_of "$1")
operator = $(operator_of "$1")
peer = $(peer_of "$1")

[platform]
table-service = $tables
object-store = $objects
vm-list = $vms

[operator]
token = demonstration-token

[log]
to-stderr = yes
SETTINGS
    list_node "$1" "$2"
    launch "node$1" "$build/src/fescueledged/fescueledged" --settings "$dir/entry-$1.ini"
}

node_ready() { curl -sf "http://$(operator_of "$1")/readyz"; }

printf 'demonstration-token\n' > "$dir/token"

# operate N ARGUMENTS...: runs the operators' command line against node N.
operate() {
    node=$1
    shift
    "$build/src/fescueledge/fescueledge" --node "$(operator_of "$node")" --token-file "$dir/token" "$@"
}

# Sum of the ledgers of the given worker stand-ins, as one line of JSON each.
ledgers() {
    for index in "$@"; do
        curl -s "http://$(workers_address "$index")/ledger"
        echo
    done
}

# count_events INDEX EVENT: how often a task event is in the ledger of worker stand-in INDEX.
count_events() { ledgers "$1" | grep -o "\"event\":\"$2\"" | wc -l; }

write_tables() {
    cat > "$dir/routes.ini" << 'ROUTES'
[route previews]
path = /preview
methods = GET
pool = services
deadline = 2s
idempotent = yes
max-attempts = 3

[route orders]
path = /orders
methods = POST
pool = services
deadline = 2s
ROUTES
    cat > "$dir/pools.ini" << 'POOLS'
[pool services]
workers = dc1-w*, dc2-w*
slots = 8
connections = 64
reserve-cores = 2
reserve-memory = 4096MB
target-p99 = 200ms

[team atelier]
weight = 1
POOLS
}

# start_small: the platform, two workers in each of two data centres, nodes 1 and 2, and the tables in force.
start_small() {
    start_platform
    start_workers dc1 0 2
    start_workers dc2 1 2
    start_node 1 dc1
    start_node 2 dc2
    wait_until 30 node_ready 1 || say "FAIL entry-1 is not ready"
    wait_until 30 node_ready 2 || say "FAIL entry-2 is not ready"
    write_tables
    operate 1 config apply "$dir/routes.ini" "$dir/pools.ini" --who tester --why tables > "$dir/apply.log" 2>&1 ||
        say "FAIL the tables are not in force"
    wait_until 30 preview 1 || say "FAIL entry-1 does not serve"
    wait_until 30 preview 2 || say "FAIL entry-2 does not serve"
}

# preview NODE: sends one latency-critical request; succeeds if it was answered.
preview() { [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 5 "http://$(caller_of "$1")/preview?ms=5")" = 200 ]; }

# submit NODE KEY TASKS RUN_MS: submits a job and prints its id, or the error.
submit() {
    curl -s --max-time 20 -X POST "http://$(caller_of "$1")/v1/jobs" -d "{\"customer\":\"workshop\",
        \"team\":\"atelier\",\"key\":\"$2\",\"kind\":\"plan\",\"task_count\":$3,\"payloads\":[\"{\\\"run_ms\\\":$4}\"],
        \"resources\":{\"milli_cores\":2000,\"memory_mb\":1024,\"accelerators\":0}}" |
        sed -n 's/.*"job":"\([^"]*\)".*/\1/p; s/.*"type":"\([^"]*\)".*/\1/p'
}

# finished NODE JOB TASKS: succeeds once the job has that many finished tasks.
finished() {
    curl -s --max-time 10 "http://$(caller_of "$1")/v1/jobs/$2" | grep -q "\"finished\":$3[,}]"
}

# order NODE KEY: sends a keyed order; prints the body and, on a line of its own, the HTTP status.
order() {
    curl -s --max-time 8 -w '\n%{http_code}\n' -X POST -H "Idempotency-Key: $2" -H "X-Customer: workshop" -d restock \
        "http://$(caller_of "$1")/orders"
}

# starts_in INDEX: how many attempts started in the worker stand-in INDEX.
starts_in() { echo "$(($(count_events "$1" start) + $(count_events "$1" resume)))"; }
