#!/bin/sh
# Checks formatting and runs the linter over every source file. Argument: the build directory.
#
# A file that was found clean is not read again while its preprocessed content, the linter's settings and the linter
# stay the same; the marks are kept by content under ${XDG_CACHE_HOME:-$HOME/.cache}/fescueledge-lint.
set -eu
build=${1:-build}
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror
marks=${XDG_CACHE_HOME:-$HOME/.cache}/fescueledge-lint
mkdir -p "$marks"
common=$( (clang-tidy --version; cat .clang-tidy) | sha256sum | cut -c1-16)
export build marks common
git ls-files 'src/*.cpp' 'platform/*.cpp' | xargs -P 6 -n 1 sh "$(dirname "$0")/lint-file.sh" || {
    echo "lint: findings above"
    exit 1
}
echo "lint: clean"
