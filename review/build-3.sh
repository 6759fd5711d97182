#!/usr/bin/env bash
# Builds the stand-ins and drivers of review/11 to review/15 into target/review-3.
# Needs only a C++20 compiler and the C and C++ libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cc; do
  name=$(basename "$source" .cc)
  c++ -std=c++20 -O1 -Wall -pthread "$source" -o "target/review-3/$name"
done
