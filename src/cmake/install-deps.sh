#!/bin/sh
# Installs the Debian packages that the build needs, if any is missing.
set -eu
packages="g++ make cmake ninja-build pkg-config clang-format clang-tidy libtbb-dev libwebsocketpp-dev libasio-dev
nlohmann-json3-dev prometheus-cpp-dev libcpp-httplib-dev libinih-dev libgoogle-glog-dev catch2
libtrompeloeil-cpp-dev librapidcheck-dev libxxhash-dev libssl-dev libboost-dev libmimalloc-dev ccache curl"
missing=""
for package in $packages; do
    dpkg -s "$package" > /dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing
