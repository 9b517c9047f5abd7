#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, the project's own too. The
# daemon is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand-ins-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build target/review-2
