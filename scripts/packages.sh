#!/bin/sh
# Installs the Debian packages that the build and the tests need. Does nothing if all are installed.
set -eu
packages="g++ cmake ninja-build make clang-format clang-tidy curl librestinio-dev libasio-dev
libhttp-parser-dev libfmt-dev libzmq3-dev cppzmq-dev libprotobuf-dev libboost-dev
libboost-program-options-dev libgoogle-glog-dev catch2 librapidcheck-dev libxxhash-dev
rapidjson-dev libbenchmark-dev libcurl4-openssl-dev libssl-dev libyaml-cpp-dev zlib1g-dev
gnuplot-nox"
missing=""
for package in $packages; do
    dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -q
# shellcheck disable=SC2086
$sudo apt-get install -y -q --no-install-recommends $missing
