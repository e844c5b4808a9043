#!/bin/sh
# Builds the stand-ins of the review's scripts, with packages of the deploy file only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++17 -O1 -Wall -Wextra -o bin/rig rig/main.cpp -lpthread
