#!/bin/sh
# Builds the stand-ins of the cases into review/bin. Needs g++ only.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cpp; do
    g++ -std=c++17 -O2 -pthread -o "bin/$(basename "$source" .cpp)" "$source"
done
