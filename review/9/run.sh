#!/bin/bash
# A job whose DELETE was answered with 410 must not run afterwards. The node that got the POST is frozen for 4 s.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../rig-2/rig.sh"
trouble=${TROUBLE:-1}

job=00000000000000a7
cancel_ms=3000
kill_grace_ms=900
contact_ms=3000
start_small 15
sleep 4
find_coordinator
front=$((coordinator % 3 + 1))
other=$((front % 3 + 1))
note "edge-$coordinator coordinates; the client's balancer has chosen edge-$front"

frozen=$(eval "echo \$pid_node$front")
if [ "$trouble" != 0 ]; then
    kill -STOP "$frozen"
    frozen_at=${EPOCHREALTIME/./}
    note "edge-$front freezes"
fi
# The client waits for its answer as long as it has said, and no longer.
content='{"spec":"work_ms=3600000 cpu=1000 mem_mb=100 long_running=1","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":300,"long_running":true}]}'
exec 8<> "/dev/tcp/$host/$(caller_port $front)" || cannot "edge-$front does not listen"
printf 'POST /orders/%s HTTP/1.1\r\nHost: desk.example\r\nX-Deadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
    $job ${#content} "$content" >&8
note "client to edge-$front: POST /orders/$job $content (X-Deadline-Ms: 3000)"
answer=
read -r -t 3 answer <&8
exec 8>&-
note "the client got ${answer:-no answer within its deadline, and closed the connection}"

call $other DELETE /orders/$job
[[ $status == 2* || $status == 410 ]] || cannot "the cancelling was not acknowledged"
acknowledged=${EPOCHREALTIME/./}
if [ "$trouble" != 0 ]; then
    left=$((4000000 - (${EPOCHREALTIME/./} - frozen_at)))
    sleep "$((left / 1000000)).$(printf %06d $((left % 1000000)))"
    kill -CONT "$frozen"
    note "edge-$front wakes, 4 s after it froze"
fi

# By then the machine that froze is in touch again as well.
wait_ms=$((cancel_ms + kill_grace_ms + contact_ms))
while [ $(((${EPOCHREALTIME/./} - acknowledged) / 1000)) -lt $wait_ms ]; do sleep 0.05; done
first=$(runs_of $job | awk '$5 == "null"' | wc -l)
note "$wait_ms ms after the answer to DELETE: $first tasks of the job run"
sleep 5
last=$(runs_of $job | awk '$5 == "null"' | wc -l)
note "5 s later: $last tasks of the job run"
call $other GET /orders/$job
note_runs $job
if [ "$first" -gt 0 ] && [ "$last" -gt 0 ]; then
    note "BROKEN: tasks of a job whose cancelling was acknowledged run on"
    exit 1
fi
note "held: no task of the job runs"
exit 0
