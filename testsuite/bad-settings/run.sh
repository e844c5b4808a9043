#!/bin/sh
# Refuses settings with every finding in one go, and leaves with 1.
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "$1" && pwd)
base=$2
. "$here/common/cluster.sh"

cat > "$dir/bad.ini" << 'SETTINGS'
[node]
name = entry-1
data-centre = dc1
colour = red

[listen]
caller = 127.0.0.1:8080
operator = 127.0.0.1
peer = 127.0.0.1:8082

[platform]
table-service = 127.0.0.1:7100
object-store = 127.0.0.1:7101
vm-list = 127.0.0.1:7102

[leases]
store = 3
grant = 2s

[operator]
token = demonstration-token
SETTINGS
"$build/src/fescueledged/fescueledged" --settings "$dir/bad.ini" --check-settings 2>&1 | sed "s|$dir/||"
"$build/src/fescueledged/fescueledged" --settings "$dir/bad.ini" --check-settings > /dev/null 2>&1
say "exit code $?"
"$build/src/fescueledged/fescueledged" --unknown > /dev/null 2>&1
say "exit code for an unknown option $?"
