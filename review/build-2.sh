#!/bin/sh
# Builds the programs of cases 6 to 10 into target/review-2. Each contains the stand-ins that it
# uses; they need nothing but the compiler and the C library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6/case.cpp review/7/case.cpp review/8/case.cpp review/9/case.cpp \
  review/10/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -pthread -Wall -Wextra -o "target/review-2/case-$number" "$source"
done
