#!/bin/sh
# A data centre is taken out while the owner of its workers is stopped: nothing starts there after the answer.
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "$1" && pwd)
base=$2
. "$here/common/cluster.sh"

start_small
submit 1 work-1 100 400 > "$dir/job"
check "tasks run in dc2" wait_until 20 sh -c "curl -s http://$(workers_address 1)/ledger | grep -q start"
kill -STOP "$pid_node2"
take_out() {
    operate 1 --timeout 20s datacentre out dc2 --who tester --why maintenance > "$dir/out.log" 2>&1
}
check "dc2 is taken out although entry-2 is stopped" take_out
before=$(starts_in 1)
kill -CONT "$pid_node2"
sleep 5
[ "$(starts_in 1)" -eq "$before" ] && say "no task started in dc2 after the answer"
check "all tasks finish" wait_until 90 finished 1 "$(cat "$dir/job")" 100
say "starts in dc2 after the answer: $(($(starts_in 1) - before))"
[ "$failures" -eq 0 ]
