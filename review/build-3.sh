#!/usr/bin/env bash
# Builds the drivers of the scripts in review/11 to review/15 into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/driver.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -o "target/review-3/case-$number" "$source"
done
