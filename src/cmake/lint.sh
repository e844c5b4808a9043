#!/bin/sh
# Checks formatting and runs the linter over every source file. Argument: the build directory.
set -eu
build=${1:-build}
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror
git ls-files 'src/*.cpp' | xargs -P 8 -n 4 clang-tidy --quiet -p "$build" 2> "$build/clang-tidy.err" || {
    cat "$build/clang-tidy.err"
    exit 1
}
echo "lint: clean"
