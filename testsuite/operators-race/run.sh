#!/bin/sh
# Two operators apply against one version at once: one is accepted, the other gets a typed conflict.
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "$1" && pwd)
base=$2
. "$here/common/cluster.sh"

start_small
sed 's/deadline = 2s/deadline = 1s/' "$dir/routes.ini" > "$dir/routes-a.ini"
sed 's/deadline = 2s/deadline = 3s/' "$dir/routes.ini" > "$dir/routes-b.ini"
operate 1 config apply "$dir/routes-a.ini" "$dir/pools.ini" --who anna --why "shorter" --expected-version 1 \
    > "$dir/a.log" 2>&1 &
first=$!
operate 2 config apply "$dir/routes-b.ini" "$dir/pools.ini" --who berta --why "longer" --expected-version 1 \
    > "$dir/b.log" 2>&1 &
second=$!
wait "$first"
code_a=$?
wait "$second"
code_b=$?
say "exit codes, in order: $(printf '%s\n%s\n' "$code_a" "$code_b" | sort | tr '\n' ' ')"
if [ "$code_a" -eq 0 ]; then winner=routes-a.ini; else winner=routes-b.ini; fi
operate 2 --json config show | sed -n 's/.*"version": *\([0-9]*\).*/\1/p' | sort -u > "$dir/version"
say "version in force: $(cat "$dir/version")"
curl -s -H "Authorization: Bearer demonstration-token" "http://$(operator_of 2)/v1/config" > "$dir/shown.json"
expected=$(awk '{printf "%s\\n", $0}' "$dir/$winner")
check "what is in force is what the winner sent" grep -qF "$expected" "$dir/shown.json"
[ "$failures" -eq 0 ]
