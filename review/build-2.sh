#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    if [ "$number" -ge 6 ]; then
        g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "target/review-2/case-$number" "$source"
    fi
done
