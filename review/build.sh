#!/usr/bin/env bash
# Builds the programs of the cases into target/review/: each is one source file
# with the stand-ins that it starts, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -Ireview/standins "$source" -o "target/review/case$number"
done
