#!/bin/sh
# Measures the overhead of the daemon with real processes on loopback. Arguments: build directory, first port.
# Prints added latency and capacity, then CPU time, memory and bytes per second at several cluster sizes.
set -u
top=$(cd "$(dirname "$0")/../../.." && pwd)
build=$(cd "${1:-build}" && pwd)
base=${2:-26000}
. "$top/testsuite/common/cluster.sh"
ticks=$(getconf CLK_TCK)

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
metric() { curl -s "http://$(operator_of "$1")/metrics" | awk -v name="fescueledge_$2" '$1 == name {print $2}'; }

# cost LABEL SECONDS: prints CPU use, memory and traffic of node 1 over that time.
cost() {
    c0=$(cpu_ticks "$pid_node1")
    b0=$(metric 1 peer_bytes_sent_total)
    m0=$(metric 1 peer_messages_sent_total)
    s0=$(curl -s "http://$tables/statistics" | grep -o '"commits":[0-9]*' | cut -d: -f2)
    sleep "$2"
    c1=$(cpu_ticks "$pid_node1")
    b1=$(metric 1 peer_bytes_sent_total)
    m1=$(metric 1 peer_messages_sent_total)
    s1=$(curl -s "http://$tables/statistics" | grep -o '"commits":[0-9]*' | cut -d: -f2)
    awk -v label="$1" -v cpu="$((c1 - c0))" -v ticks="$ticks" -v s="$2" -v b0="$b0" -v b1="$b1" -v m0="$m0" \
        -v m1="$m1" -v rss="$(rss_kb "$pid_node1")" -v owned="$(metric 1 workers_owned)" -v commits="$((s1 - s0))" \
        'BEGIN { printf "%s owned_workers=%d core=%.2f%% rss=%.1f MB peer=%.2f KB/s messages=%.1f/s store_commits=%.1f/s\n",
            label, owned, 100 * cpu / ticks / s, rss / 1024, (b1 - b0) / s / 1000, (m1 - m0) / s, commits / s }'
}

# fleet NODES WORKERS: starts the platform, nodes and workers in one data centre, and applies the configuration tables.
fleet() {
    start_platform
    start_workers dc1 0 "$2"
    n=1
    while [ "$n" -le "$1" ]; do
        start_node "$n" dc1
        n=$((n + 1))
    done
    n=1
    while [ "$n" -le "$1" ]; do
        wait_until 30 node_ready "$n"
        n=$((n + 1))
    done
    write_tables
    operate 1 config apply "$dir/routes.ini" "$dir/pools.ini" --who bench --why cost > /dev/null
    sleep 8
}

end_fleet() {
    for pid in $pids; do
        kill -KILL "$pid" 2> /dev/null
    done
    wait 2> /dev/null
    pids=""
}

load() { "$build/src/bench/daemon/fescueledge-bench-load" "$@"; }

say "# latency: one node, eight workers; endpoint against daemon in one run"
fleet 1 8
endpoint=$host:$((base + 100))
load --to "$(caller_of 1)" --threads 32 --rate 0 --seconds 5
load --to "$endpoint" --to "$(caller_of 1)" --threads 8 --rate 200 --seconds 8
load --to "$endpoint" --to "$(caller_of 1)" --threads 8 --rate 500 --seconds 8
end_fleet
for workers in 8 16 32; do
    say "# idle, two nodes, $workers workers"
    fleet 2 "$workers"
    cost "idle nodes=2 workers=$workers" 10
    end_fleet
done
for nodes in 4 6; do
    say "# idle, $nodes nodes, 16 workers"
    fleet "$nodes" 16
    cost "idle nodes=$nodes workers=16" 10
    end_fleet
done
say "# tasks running, two nodes, 16 workers of 16 cores"
for tasks in 40 80 160; do
    fleet 2 16
    curl -s -X POST "http://$(caller_of 1)/v1/jobs" -d "{\"customer\":\"c\",\"team\":\"atelier\",\"key\":\"k$tasks\",
        \"kind\":\"k\",\"task_count\":$tasks,\"payloads\":[\"{\\\"run_ms\\\":60000}\"],
        \"resources\":{\"milli_cores\":1000,\"memory_mb\":100,\"accelerators\":0}}" > /dev/null
    sleep 6
    cost "running tasks=$tasks nodes=2 workers=16" 10
    end_fleet
done
say "# starts a second: one node, 32 workers, tasks of 100 ms"
fleet 1 32
t0=$(date +%s%N)
job=$(submit 1 starts 2000 100)
wait_until 120 finished 1 "$job" 2000
t1=$(date +%s%N)
say "2000 tasks in $(((t1 - t0) / 1000000)) ms; node rss $(($(rss_kb "$pid_node1") / 1024)) MB"
end_fleet
