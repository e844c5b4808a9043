#!/bin/sh
# The whole path on the users' platform, against its stand-in: submit, run, end, cancel, a node killed, the store away.
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "$1" && pwd)
base=$2
. "$here/common/cluster.sh"

# node N: starts node N; its callers' port is base+20N, the others follow it.
node() {
    cat > "$dir/node$1.ini" << INI
[node]
name = node-$1
data-centre = dc-a
[listen]
caller = $host:$((base + 20 * $1))
operator = $host:$((base + 20 * $1 + 2))
peer = $host:$((base + 20 * $1 + 3))
[platform]
table-service = $host:$((base + 200))
object-store = $host:$((base + 200))
vm-list = $host:$((base + 200))
[operator]
token = a-token-for-this-test
[workflow]
enabled = yes
ready = $host:$((base + 20 * $1 + 1))
cores = 0.$1
INI
    launch "node$1" "$build/src/fescueledged/fescueledged" --settings "$dir/node$1.ini"
}

# call N METHOD PATH [BODY]: prints the status and the body.
call() {
    curl -s -m 3 -o "$dir/body" -w '%{http_code} ' -X "$2" -H 'Host: desk.example' -H 'Content-Type: application/json' \
        ${4:+-d "$4"} "http://$host:$((base + 20 * $1))$3"
    cat "$dir/body"
    rm -f "$dir/body"
}

ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$host:$((base + 20 * $1 + 1))/v1/readyz")" = 200 ]; }
state_is() { call "$1" GET "/orders/$2" | grep -q "\"$3\""; }
job='{"spec":"grind","steps":[{"count":6,"cpu":1000,"mem_mb":100,"estimate_ms":300},{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":300,"depends_on":[0]}]}'
endless='{"spec":"polish","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":300,"long_running":true}]}'

launch platform "$build/platform/fescueledge-standin-platform" $((base + 200)) 3
for n in 1 2 3; do
    node $n
done
for n in 1 2 3; do
    check "node $n is ready" wait_until 10 ready $n
done
check "one node coordinates" wait_until 10 grep -q event=term_begun "$dir/node1.log" "$dir/node2.log" "$dir/node3.log"

say "a job: $(call 1 POST /orders/00000000000000a1 "$job")"
say "the same id at another node: $(call 2 POST /orders/00000000000000a1 "$job")"
check "it is complete, asked at a third node" wait_until 10 state_is 3 00000000000000a1 complete
say "an unknown job: $(call 1 GET /orders/00000000000000ff)"
say "an unknown queue: $(call 1 GET /elsewhere/00000000000000a1)"
say "a malformed job: $(call 1 POST /orders/00000000000000a9 '{"steps":[]}')"

call 2 POST /orders/00000000000000b1 "$endless" > /dev/null
check "a long-running job is at work" wait_until 5 state_is 1 00000000000000b1 in_progress
say "its cancellation: $(call 3 DELETE /orders/00000000000000b1)"
check "it is shown as cancelled" wait_until 5 state_is 1 00000000000000b1 cancelled
say "the cancellation of an unknown job: $(call 3 DELETE /orders/00000000000000e1)"
say "its submission, which was on its way: $(call 2 POST /orders/00000000000000e1 "$endless")"
say "the job stays unknown: $(call 1 GET /orders/00000000000000e1)"

first=$(grep -l event=term_begun "$dir"/node?.log | sed 's/.*node\(.\)\.log/\1/')
other=$((first % 3 + 1))
call $other POST /orders/00000000000000c1 "$job" > /dev/null
eval "kill -KILL \$pid_node$first"
check "a job goes on after the coordinator was killed" wait_until 15 state_is $other 00000000000000c1 complete

eval "kill -HUP $pid_platform"
sleep 0.5
say "a job while the store is away: $(call $other POST /orders/00000000000000d1 "$job" | cut -c1-3)"
eval "kill -HUP $pid_platform"
accepted() { [ "$(call $other POST /orders/00000000000000d1 "$job" | cut -c1-3)" = 200 ]; }
check "it is accepted when the store is back" wait_until 10 accepted
check "and done" wait_until 10 state_is $other 00000000000000d1 complete

eval "kill -TERM \$pid_node$other"
ended() { ! kill -0 "$1" 2> /dev/null; }
eval "check 'a node told to end does so' wait_until 10 ended \$pid_node$other"
[ "$failures" -eq 0 ]
