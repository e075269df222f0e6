#!/bin/sh
# Builds the stand-ins of the cases, each beside its source. Needs g++ only.
set -e
cd "$(dirname "$0")"
for source in [1-5]/*.cpp; do
    g++ -std=c++17 -O2 -pthread -I. -o "${source%.cpp}" "$source"
done
