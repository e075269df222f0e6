#!/bin/sh
# Builds the stand-ins of the cases 6 to 9 into target/review-2, after the build of the deploy file.
# Needs g++ alone. The cases start no program of the project but target/balsamport-edge; what they
# share lies in review/6 and review/8.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[6-9]/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" \
        -o "target/review-2/$(basename "$source" .cpp)"
done
