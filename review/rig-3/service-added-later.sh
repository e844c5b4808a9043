#!/bin/bash
# A configuration adds a route and its service, whose workers have registered before. Exit code: 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the route is there from the beginning.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
daemon=target/src/fescueledged/fescueledged
platform=build-review-3/platform/fescueledge-standin-platform
trouble=${TROUBLE:-1}
record=$(mktemp)
dir=$(mktemp -d) || exit 2
host=127.0.0.1
pids=()
: > "$record"

note() { printf '%8.3f %s\n' "$(now)" "$*" | tee -a "$record"; }
now() { awk -v a="$(date +%s.%N)" -v b="$begun" 'BEGIN { print a - b }'; }
begun=$(date +%s.%N)
end() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2> /dev/null; done
    wait 2> /dev/null
    rm -rf "$dir"
}
trap end EXIT
give_up() { note "the case could not run: $*"; exit 2; }
[ -x "$daemon" ] && [ -x "$platform" ] || give_up "a program is missing"

# Finds a first port with free ones after it.
is_free() { ! (exec 3<> "/dev/tcp/$host/$1") 2> /dev/null; }
base=0
for try in 1 2 3 4 5 6 7 8 9 10; do
    base=$((20000 + (RANDOM % 300) * 40))
    for offset in $(seq 0 35); do is_free $((base + offset)) || base=0; done
    [ "$base" -ne 0 ] && break
done
[ "$base" -ne 0 ] || give_up "no free ports"
store=$host:$base
control=$host:$((base + 10))

limits='"limits":{"max_header_bytes":16384,"max_body_bytes":262144}'
service() { printf '{"name":"%s","health_path":"/healthz","max_conns":64,"enforce_capacity":true}' "$1"; }
route() {
    printf '{"name":"%s","host":"desk.example","path_prefix":"/%s/","kind":"non_idempotent","timeout_ms":3000,' "$1" "$1"
    printf '"target_duration_ms":250,"priority":0,"service":"%s","max_attempts":3,"slack_factor":1.5}' "$2"
}
first="{\"version\":3,\"routes\":[$(route plans grind)],\"services\":[$(service grind)],$limits}"
second="{\"version\":5,\"routes\":[$(route plans grind),$(route orders desk)],\"services\":[$(service grind),$(service desk)],$limits}"
put_config() { # What the operator writes to op/config.
    curl -s -m 3 -o /dev/null -w '%{http_code}' -X POST -d "$1" "http://$control/control/config"
}

"$platform" "$base" 3 "$control" > "$dir/platform.log" 2>&1 &
pids+=($!)
answer=000
for try in $(seq 50); do
    if [ "$trouble" = 0 ]; then answer=$(put_config "$second"); else answer=$(put_config "$first"); fi
    [ "$answer" = 200 ] && break
    sleep 0.1
done
[ "$answer" = 200 ] || give_up "the stand-in of the platform does not answer"
note "three workers of service desk are registered; the configuration has $([ "$trouble" = 0 ] && echo "the routes plans and orders, version 5" || echo "the route plans only, version 3")"

for n in 1 2 3; do
    cat > "$dir/node$n.ini" << INI
[node]
name = node-$n
data-centre = dc-a
[listen]
caller = $host:$((base + 10 + 5 * n))
operator = $host:$((base + 11 + 5 * n))
peer = $host:$((base + 12 + 5 * n))
[platform]
table-service = $store
object-store = $store
vm-list = $store
[operator]
token-file = deploy/peer-token
[workflow]
enabled = yes
ready = $host:$((base + 13 + 5 * n))
cores = 0.1
memory = 260MB
descriptors = 4100
drain-notice = 2000ms
row-bytes = 65536
status-retention = 120s
INI
    "$daemon" --settings "$dir/node$n.ini" > "$dir/node$n.log" 2>&1 &
    pids+=($!)
done
ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$host:$((base + 13 + 5 * $1))/v1/readyz")" = 200 ]; }
for n in 1 2 3; do
    for try in $(seq 100); do ready $n && break; sleep 0.1; done
    ready $n || give_up "node $n is not ready"
done
note "three nodes are ready"
sleep 5 # All machines are in touch.

if [ "$trouble" != 0 ]; then
    answer=$(put_config "$second")
    [ "$answer" = 200 ] || give_up "the configuration was not written"
    note "the operator's version 5 is acknowledged; it adds the route orders and its service desk"
fi
sleep 3 # config_apply_ms is 2,000.

call() { # call NODE METHOD PATH [BODY]
    curl -s -m 3 -w ' %{http_code}' -X "$2" -H 'Host: desk.example' -H 'Content-Type: application/json' \
        ${4:+-d "$4"} "http://$host:$((base + 10 + 5 * $1))$3"
}
job='{"spec":"x","steps":[{"count":2,"cpu":500,"mem_mb":100,"estimate_ms":300}]}'
for n in 1 2 3; do
    answer=$(call $n POST "/orders/00000000000000a$n" "$job")
    note "node $n: POST /orders/00000000000000a$n ->$answer"
    [ "${answer##* }" = 200 ] || give_up "the job was not accepted"
done
# finish_s is 14 s; after it a job may have nothing running for 3 s.
sleep 18
broken=0
for n in 1 2 3; do
    answer=$(call $n GET "/orders/00000000000000a$n")
    note "node $n: GET /orders/00000000000000a$n -> $answer"
    case $answer in *complete*) ;; *) broken=1 ;; esac
done
curl -s -m 3 "http://$control/control/history" > "$dir/history"
note "what the workers have run: $(cat "$dir/history")"
grep -h 'worker_entry_ignored\|worker_listed\|catalog_in_force\|step_waits' "$dir"/node?.log >> "$record"
if [ "$broken" = 1 ]; then
    note "LOST: accepted jobs have nothing running 18 s after the end of the traffic, and three workers are idle"
else
    note "held: all jobs are complete"
fi
exit $broken
