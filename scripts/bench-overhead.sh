#!/usr/bin/env bash
# Latency that a router adds: starts a fast engine stand-in and one router on loopback and runs
# `calicodrift-bench overhead`. Flags are passed on, as --json FILE or --concurrency 8.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/stand-ins.sh
key=bench-key
start_platform
submit_bundle "$key"
start engine "$bin/calicodrift-sim" engine --id e1 --serves m --block-bytes 256 --step-base-us 100 \
  --step-per-sequence-us 1 --prefill-tokens-per-second 100000000 --max-batch 1000 --machine-list "$list"
engine=$(address engine engine)
start_router router-1
router=$(address router-1 router)
wait_for answers "$router" "$key"
"$bin/calicodrift-bench" overhead --engine "$engine" --router "$router" --api-key "$key" "$@"
