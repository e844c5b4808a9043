#!/bin/sh
# Builds the stand-ins that the scripts in review/11 to review/15 start.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja > /dev/null
cmake --build build --target fescueledge-standin-platform
