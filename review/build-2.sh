#!/bin/sh
# Builds the project's stand-in of the platform, beside the daemon that the build of the deploy file has made.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build target --target fescueledge-standin-platform
