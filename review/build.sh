#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja >/dev/null
cmake --build target/review
