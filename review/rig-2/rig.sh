# Functions of the cases: a small deployment on loopback, made of the daemons and the stand-in of the platform that the
# project builds. Sourced by run.sh of a case; needs $case, the folder of the case. Only bash and the usual small tools.
root=$(cd "$case/../.." && pwd)
daemon=$root/target/src/fescueledged/fescueledged
standin=$root/target/platform/fescueledge-standin-platform
record=$case/record.txt
host=127.0.0.1
pids=""

: > "$record"
dir=$(mktemp -d) || exit 2

# note WORDS...: a line of the record, with the seconds since the start.
note() { printf '%8.3f  %s\n' "$(elapsed)" "$*" | tee -a "$record"; }
began=${EPOCHREALTIME/./}
elapsed() { local now=${EPOCHREALTIME/./}; printf '%d.%03d' $(((now - began) / 1000000)) $(((now - began) / 1000 % 1000)); }

# launch NAME COMMAND...: starts a process; its output goes to a log, its id to pid_NAME.
launch() {
    local name=$1
    shift
    (cd "$root" && exec "$@") > "$dir/$name.log" 2>&1 &
    eval "pid_$name=$!"
    pids="$pids $!"
    disown $!
}

stop_all() {
    local pid
    for pid in $pids; do
        kill -CONT "$pid" 2> /dev/null
        kill -KILL "$pid" 2> /dev/null
    done
    [ -n "${KEEP_LOGS:-}" ] && cp "$dir"/*.log "$KEEP_LOGS" 2> /dev/null
    rm -rf "$dir"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

# cannot WHY: the case could not run.
cannot() { note "could not run: $*"; exit 2; }

is_free() { ! (exec 3<> "/dev/tcp/$host/$1") 2> /dev/null; }

# choose_ports COUNT: sets $base to the first of so many ports that nobody listens on.
choose_ports() {
    local tries p ok
    for ((tries = 0; tries < 50; ++tries)); do
        base=$((20000 + RANDOM % 10000))
        ok=1
        for ((p = base; p < base + $1; ++p)); do
            is_free $p || { ok=0; break; }
        done
        [ $ok = 1 ] && return 0
    done
    cannot "no free ports"
}

# http PORT METHOD PATH [BODY]: sets $status (000 without an answer) and $body.
http() {
    local port=$1 method=$2 path=$3 content=${4:-} answer
    status=000
    body=
    exec 9<> "/dev/tcp/$host/$port" || return 1
    printf '%s %s HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nX-Deadline-Ms: 3000\r\n' "$method" "$path" >&9
    printf 'Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' ${#content} "$content" >&9
    answer=$(timeout 4 cat <&9)
    exec 9>&-
    [[ $answer =~ ^HTTP/1\.1\ ([0-9]+) ]] && status=${BASH_REMATCH[1]}
    [[ $answer == *$'\r\n\r\n'* ]] && body=${answer#*$'\r\n\r\n'}
} 2> /dev/null

# wait_until SECONDS COMMAND...: polls until the command succeeds.
wait_until() {
    local end=$((${EPOCHREALTIME/./} + $1 * 1000000))
    shift
    while ! "$@"; do
        [ "${EPOCHREALTIME/./}" -lt $end ] || return 1
        sleep 0.02
    done
}

# Ports: store base, control base+1, worker i base+10+i, node n (from 1) base+200+10n and the ones after it.
control() { http $((base + 1)) POST "/control/$1" "$2"; [ "$status" = 200 ] || cannot "control $1: $status $body"; }
# control_at_once KIND BODY BODY: two commands in one piece, so that nothing comes between them.
control_at_once() {
    local content answer
    exec 9<> "/dev/tcp/$host/$((base + 1))" || cannot "control $1"
    content=$(printf 'POST /control/%s HTTP/1.1\r\nHost: control\r\nContent-Length: %d\r\n\r\n%s' "$1" ${#2} "$2")
    content+=$(printf 'POST /control/%s HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
        "$1" ${#3} "$3")
    printf '%s' "$content" >&9
    answer=$(timeout 4 cat <&9)
    exec 9>&-
    [ "$(grep -o 'HTTP/1.1 200' <<< "$answer" | wc -l)" = 2 ] || cannot "control $1: $answer"
}
caller_port() { echo $((base + 200 + 10 * $1)); }

# start_platform WORKERS
start_platform() {
    launch platform "$standin" --store $host:$base --control $host:$((base + 1)) --workers "$1" --worker-ip $host \
        --worker-base-port $((base + 10))
    wait_until 10 control_answers || cannot "the stand-in of the platform does not answer"
    control config '{"version":1,"routes":[{"name":"orders","host":"desk.example","path_prefix":"/orders/",
        "kind":"non_idempotent","timeout_ms":3000,"target_duration_ms":1000,"priority":0,"service":"desk",
        "max_attempts":3,"slack_factor":1.5}],"services":[{"name":"desk","health_path":"/healthz","max_conns":64,
        "enforce_capacity":true}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144}}'
}
control_answers() { http $((base + 1)) GET /control/now; [ "$status" = 200 ]; }

# start_node N: starts node N with the settings that deploy/settings.ini.tmpl makes for a small deployment.
start_node() {
    local port
    port=$(caller_port "$1")
    cat > "$dir/node$1.ini" << INI
[node]
name = edge-$1
data-centre = dc-a

[listen]
caller = $host:$port
operator = $host:$((port + 2))
peer = $host:$((port + 3))

[platform]
table-service = $host:$base
object-store = $host:$base
vm-list = $host:$base

[operator]
token-file = deploy/peer-token

[workflow]
enabled = yes
ready = $host:$((port + 1))
metrics = $host:$((port + 4))
cores = 0.1
drain-notice = 2000ms
row-bytes = 65536
status-retention = 120s
INI
    launch "node$1" "$daemon" --settings "$dir/node$1.ini"
}
is_ready() { http $(($(caller_port "$1") + 1)) GET /v1/readyz; [ "$status" = 200 ]; }

# start_small WORKERS: the platform and three nodes, ready.
start_small() {
    [ -x "$daemon" ] && [ -x "$standin" ] || cannot "build the daemon as the deploy file says, then review/build-2.sh"
    choose_ports 260
    start_platform "$1"
    local n
    for n in 1 2 3; do start_node $n; done
    for n in 1 2 3; do wait_until 15 is_ready $n || cannot "node $n is not ready"; done
    note "the platform with $1 workers and three nodes run"
}

# call NODE METHOD PATH [BODY]: a client's request, which is recorded with its answer.
call() {
    http "$(caller_port "$1")" "$2" "$3" "${4:-}"
    note "client to edge-$1: $2 $3 ${4:+$4 }-> $status $body"
}

# runs_of JOB: the runs of a job that workers have begun, a line each: task run worker began ended how acknowledged.
runs_of() {
    http $((base + 1)) GET /control/history
    sed 's/.*"runs":\[//; s/\],"violations".*//; s/},{/}\n{/g' <<< "$body" | sed -n "/\"task\":\"$1\\./p" | sed -E \
        's/.*"acknowledged":([a-z]+),"began_ms":([0-9]+),"ended_ms":([0-9a-z]+),"how":"([a-z]*)",.*"run":([0-9]+),"task":"([^"]+)","term":[0-9]+,"worker":"([^"]+)".*/\6 \5 \7 \2 \3 \4 \1/'
}
note_runs() { runs_of "$1" | while read -r line; do note "run (task, number, worker, began, ended, how, noted): $line"; done; }

# find_coordinator: sets $coordinator to the number of the node that coordinates.
coordinates() { http $(($(caller_port "$1") + 4)) GET /metrics; [[ $body =~ coordinates(\{[^}]*\})?\ 1 ]]; }
has_coordinator() {
    for coordinator in 1 2 3; do
        coordinates $coordinator && return 0
    done
    return 1
}
find_coordinator() { wait_until 10 has_coordinator || cannot "no node coordinates"; }
