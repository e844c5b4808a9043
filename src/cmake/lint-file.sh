#!/bin/sh
# Runs the linter over one file, unless a file of the same content was found clean. Called by lint.sh.
set -u
file=$1
# A file that can't be preprocessed so is read each time: its content is not known.
mark=/dev/null
if text=$(g++ -std=c++17 -Isrc/include -I. -E -P "$file" 2>/dev/null); then
    mark=$marks/$common-$(printf '%s' "$text" | sha256sum | cut -c1-40)
    [ -e "$mark" ] && exit 0
fi
if out=$(clang-tidy --quiet -p "$build" "$file" 2>/dev/null); then
    [ "$mark" = /dev/null ] || touch "$mark"
else
    echo "$out"
    exit 1
fi
