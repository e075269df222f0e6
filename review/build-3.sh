#!/bin/sh
# Builds the programs of the third review's scripts into target/review-3/. They need a C++ compiler
# and nothing else; the daemon is the one of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
c++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-3/quota_and_hup review/11/quota_and_hup.cpp
