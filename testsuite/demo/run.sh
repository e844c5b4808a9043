#!/bin/sh
# Shows the whole system on loopback: three daemons in two data centres, with stand-ins for the platform and workers.
# Argument: the build directory. Exits non-zero if anything it shows did not happen.
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "${1:-build}" && pwd)
base=${2:-21000}
. "$here/common/cluster.sh"

get() { curl -s -o /dev/null -w '%{http_code}' --max-time 5 "http://$(caller_of "$1")$2"; }

# answered NODE COUNT: sends requests through a node; succeeds if each got its whole answer.
answered() {
    sent=0
    while [ "$sent" -lt "$2" ]; do
        [ "$(get "$1" "/preview?ms=5&n=$sent")" = 200 ] || return 1
        sent=$((sent + 1))
    done
}

running_in_dc2() { [ "$(count_events 1 start)" -gt 0 ]; }
resumed_in_dc1() { [ "$(count_events 0 resume)" -gt 0 ]; }
no_new_start_in_dc2() { [ "$(starts_in 1)" = "$starts_before" ]; }
new_start_in_dc2() { [ "$(starts_in 1)" -gt "$starts_before" ]; }

say "== three daemons and the stand-ins in two data centres"
start_platform
start_workers dc1 0 4
start_workers dc2 1 4
start_node 1 dc1
start_node 2 dc2
start_node 3 dc1
for n in 1 2 3; do
    check "entry-$n is ready" wait_until 20 node_ready "$n"
done
[ "$failures" -eq 0 ] || exit 1

say "== an accepted configuration"
write_tables
check "the tables are accepted and in force" operate 1 config apply "$dir/routes.ini" "$dir/pools.ini" \
    --who demo --why "first tables"

say "== latency-critical requests through any node"
for n in 1 2 3; do
    check "entry-$n comes to serve" wait_until 20 answered "$n" 1
    check "20 requests through entry-$n are answered" answered "$n" 20
done

say "== one order sent twice under one key"
first=$(order 1 restock-1 | head -1)
second=$(order 2 restock-1 | head -1)
say "     first answer:  $first"
say "     second answer: $second"
check "both callers got the same answer" [ -n "$first" ]
check "the answers are equal" [ "$first" = "$second" ]
check "the order ran once" [ "$(ledgers 0 1 | grep -o '"restock-1":[0-9]*' | tr -d '\n')" = '"restock-1":1' ]

say "== batch work, a data centre taken out and brought back"
job=$(submit 2 plans-1 16 6000)
check "the job is accepted" [ -n "$job" ]
check "tasks run in dc2" wait_until 15 running_in_dc2
check "dc2 is taken out" operate 3 datacentre out dc2 --who demo --why "maintenance"
starts_before=$(starts_in 1)
check "a task evicted from dc2 is resumed in dc1" wait_until 20 resumed_in_dc1
check "requests go on" answered 2 20
check "all 16 tasks finish" wait_until 40 finished 1 "$job" 16
check "no task started in dc2 after the answer" no_new_start_in_dc2
check "dc2 is brought back" operate 3 datacentre in dc2 --who demo --why "maintenance done"
job=$(submit 3 plans-2 60 1500)
check "tasks start in dc2 again" wait_until 20 new_start_in_dc2
check "all 60 tasks finish" wait_until 30 finished 3 "$job" 60

say "== a daemon killed"
job=$(submit 2 plans-3 16 3000)
kill -KILL "$pid_node1"
check "requests through entry-2 go on" wait_until 20 answered 2 20
check "requests through entry-3 go on" wait_until 20 answered 3 20
check "all 16 tasks finish" wait_until 60 finished 3 "$job" 16

say "== the audit trail"
operate 2 audit
check "the audit trail names every change" [ "$(operate 2 --json audit | grep -o '"version"' | wc -l)" -ge 3 ]

say "== a planned stop"
kill -TERM "$pid_node2"
check "entry-2 drains with exit code 0" wait "$pid_node2"

if [ "$failures" -ne 0 ]; then
    say "$failures checks failed"
    exit 1
fi
say "all of it happened"
