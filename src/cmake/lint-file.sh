#!/bin/sh
# Runs the linter over one file, unless a file of the same content was found clean. Called by lint.sh.
set -u
file=$1
content=$(g++ -std=c++17 -Isrc/include -I. -E -P "$file" 2>/dev/null | sha256sum | cut -c1-40)
mark=$marks/$common-$content
[ -e "$mark" ] && exit 0
if out=$(clang-tidy --quiet -p "$build" "$file" 2>/dev/null); then
    touch "$mark"
else
    echo "$out"
    exit 1
fi
