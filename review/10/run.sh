#!/bin/bash
# A step that lasts and allows one of its tasks to be unavailable: no order may stop another task meanwhile.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../rig-2/rig.sh"
trouble=${TROUBLE:-1}

lasting=00000000000000a8
serving=00000000000000b8
start_small 15
sleep 2
call 1 POST /orders/$lasting '{"spec":"cpu=3000 mem_mb=100 long_running=1 fill_count=1","steps":[{"count":15,"cpu":3000,"mem_mb":100,"estimate_ms":300,"long_running":true,"fill_count":1,"image":"fill","max_unavailable":1}]}'
[ "$status" = 200 ] || cannot "the job was not accepted"
all_run() { [ "$(runs_of $lasting | awk '$5 == "null"' | wc -l)" = 15 ]; }
wait_until 10 all_run || cannot "the tasks that last did not start"
note "15 tasks of $lasting are at work, one on each worker"
sleep 3

if [ "$trouble" != 0 ]; then
    call 2 POST /orders/$serving '{"spec":"cpu=6000 mem_mb=100 long_running=1 target_ms=7","steps":[{"count":4,"cpu":6000,"mem_mb":100,"estimate_ms":300,"long_running":true,"image":"serve","target_ms":7,"required_label":"r0","anti_affinity":1}]}'
    [ "$status" = 200 ] || cannot "the second job was not accepted"
fi
sleep 15

note_runs $lasting
note_runs $serving
# For each run that was stopped: how many other tasks had been stopped and had not begun again at that moment.
most=$(runs_of $lasting | awk '
    { n++; task[n] = $1; run[n] = $2; began[n] = $4; ended[n] = $5; how[n] = $6 }
    END {
        most = 0
        for (i = 1; i <= n; i++) {
            if (how[i] != "stopped") continue
            away = 0
            for (j = 1; j <= n; j++) {
                if (task[j] == task[i] || how[j] != "stopped" || ended[j] > ended[i]) continue
                back = 0
                for (k = 1; k <= n; k++) if (task[k] == task[j] && run[k] > run[j] && began[k] <= ended[i]) back = 1
                if (!back) away++
            }
            if (away > most) most = away
        }
        print most
    }')
note "most other tasks of the step that were away by orders when one was stopped: $most (max_unavailable is 1)"
if [ "$most" -ge 1 ]; then
    note "BROKEN: tasks at work were stopped while as many others as max_unavailable allows were away by orders"
    exit 1
fi
note "held: max_unavailable was kept"
exit 0
