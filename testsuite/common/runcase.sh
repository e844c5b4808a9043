#!/bin/sh
# Runs one case and compares its output with the reference. Arguments: case, build directory, first port.
here=$(cd "$(dirname "$0")/.." && pwd)
out=$(mktemp)
sh "$here/$1/run.sh" "$2" "$3" > "$out" 2> "$out.err"
code=$?
diff -u "$here/$1/ref/out.txt" "$out" || code=1
[ "$code" -eq 0 ] || cat "$out.err"
rm -f "$out" "$out.err"
exit $code
