#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases into target/review/, without the project's tests.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
compile=(g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -Ireview/standins)
"${compile[@]}" review/standins/{http,endpoint}.cpp -o "$out/endpoint"
for case in review/[1-5]/case.cpp; do
    number="$(basename "$(dirname "$case")")"
    "${compile[@]}" review/standins/{http,store,fleet,caller}.cpp "$case" -o "$out/case-$number"
done
