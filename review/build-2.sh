#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the build of the deploy file.
# Needs g++ alone. The cases start no program of the project but target/balsamport-edge.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-ins-2/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" \
        -o "target/review-2/$(basename "$source" .cpp)"
done
