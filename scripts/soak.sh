#!/usr/bin/env bash
# The long soak: a deployment of real processes, seeded faults, and the checker.
# soak.sh [SEED] [SECONDS] [tatra|trinacria] [JSON_FILE]; the same seed gives the same faults.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
export CALICODRIFT_BIN="$build/bin"
export SOAK_SEED=${1:-1} SOAK_SECONDS=${2:-120} SOAK_SHAPE=${3:-tatra} SOAK_JSON=${4:-soak-result.json}
export SOAK_LEAVE_LIMIT_MS=${SOAK_LEAVE_LIMIT_MS:-3000}
exec "$build/bin/soak_test" --log_level=message
