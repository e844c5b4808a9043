#!/bin/sh
# The store is down for longer than every lease: requests go on, tasks run on, nothing is accepted.
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "$1" && pwd)
base=$2
. "$here/common/cluster.sh"

start_small
submit 1 work-1 8 15000 > "$dir/job"
# The queue may place all tasks in one rack, so the starts of both are counted.
tasks_started() { [ "$(($(starts_in 0) + $(starts_in 1)))" -ge 8 ]; }
check "tasks run" wait_until 20 tasks_started
sleep 2
fault tables '{"down":true}'
sleep 1
failed=0
i=0
while [ "$i" -lt 40 ]; do
    preview 1 || failed=$((failed + 1))
    preview 2 || failed=$((failed + 1))
    sleep 0.2
    i=$((i + 1))
done
say "requests that failed during the outage: $failed of 80"
say "a job submitted during the outage: $(submit 2 work-2 1 100)"
say "an order sent during the outage: $(order 1 late-1 | grep -o '"type":"[^"]*"')"
fault tables '{}'
check "the tasks finish" wait_until 60 finished 2 "$(cat "$dir/job")" 8
say "attempts stopped: $(($(count_events 0 stop) + $(count_events 1 stop)))"
say "attempts resumed: $(($(count_events 0 resume) + $(count_events 1 resume)))"
check "jobs are accepted again" wait_until 10 sh -c "curl -s -X POST http://$(caller_of 2)/v1/jobs -d \
    '{\"customer\":\"workshop\",\"team\":\"atelier\",\"key\":\"work-3\",\"kind\":\"plan\",\"resources\":{\"milli_cores\":100,\"memory_mb\":10,\"accelerators\":0}}' | grep -q '\"job\"'"
[ "$failures" -eq 0 ]
