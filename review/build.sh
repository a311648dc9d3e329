#!/bin/sh
# Builds the stand-ins and the drivers of the cases into target/review/. The entry comes from the
# build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra -Werror -pthread"
for program in store engine; do
  # shellcheck disable=SC2086
  g++ $flags "review/standins/$program.cpp" -o "$out/$program"
done
for driver in review/[1-5]/driver.cpp; do
  case=$(basename "$(dirname "$driver")")
  # shellcheck disable=SC2086
  g++ $flags "$driver" -o "$out/case-$case"
done
