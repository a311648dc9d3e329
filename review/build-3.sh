#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-3/case-3 \
  review/common-3/main.cpp review/common-3/World.cpp review/common-3/Cases.cpp
