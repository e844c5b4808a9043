#!/bin/sh
# Keyed orders through two nodes while one is killed: none runs twice, none answered as not run has run.
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "$1" && pwd)
base=$2
. "$here/common/cluster.sh"

start_small
i=0
while [ "$i" -lt 120 ]; do
    if [ "$i" -eq 40 ]; then
        kill -KILL "$pid_node1"
    fi
    node=$((i % 2 + 1))
    order "$node" "k$i" > "$dir/order-$i" 2> /dev/null &
    calls="${calls:-} $!"
    sleep 0.02
    i=$((i + 1))
done
for call in $calls; do
    wait "$call"
done
ledgers 0 1 > "$dir/ledger"
twice=0
lost=0
false_not_run=0
i=0
while [ "$i" -lt 120 ]; do
    runs=$(grep -o "\"k$i\":[0-9]*" "$dir/ledger" | sed 's/.*://' | awk "{ n += \$1 } END { print n + 0 }")
    runs=${runs:-0}
    status=$(tail -1 "$dir/order-$i")
    [ "$runs" -le 1 ] || twice=$((twice + 1))
    if [ "$status" = 200 ] && [ "$runs" -ne 1 ]; then lost=$((lost + 1)); fi
    if grep -q '"outcome":"not run"' "$dir/order-$i" && [ "$runs" -ne 0 ]; then
        false_not_run=$((false_not_run + 1))
    fi
    i=$((i + 1))
done
say "orders run twice: $twice"
say "orders answered but not run: $lost"
say "orders answered as not run that ran: $false_not_run"
check "orders go on through the other node" wait_until 30 preview 2
