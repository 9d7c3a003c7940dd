#!/usr/bin/env bash
# Builds what the scripts of the second review start, into build-review-2/. The hosts are those of
# the deploy file's build in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B build-review-2 -G Ninja >/dev/null
cmake --build build-review-2 --target platform-standin review-2
