#!/bin/sh
# Builds the stand-ins that the scripts in review/11 to review/15 start.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B build-review-3 -G Ninja -DCMAKE_PROJECT_fescueledge_INCLUDE="$PWD/review/rig-3/rig.cmake" > /dev/null
cmake --build build-review-3 --target fescueledge-standin-platform fescueledge-review-kindchange
