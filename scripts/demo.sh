#!/usr/bin/env bash
# Starts a platform, two engines of different speed, one ordinary service and two routers on
# loopback, rolls out a signed bundle, sends requests that share a prefix, and ends by itself.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${1:-build/bin}
source scripts/stand-ins.sh

start_platform
start engine-fast "$bin/calicodrift-sim" engine --id engine-fast --block-bytes 256 \
  --step-base-us 5000 --machine-list "$list"
start engine-slow "$bin/calicodrift-sim" engine --id engine-slow --block-bytes 256 \
  --step-base-us 15000 --machine-list "$list"
start registry "$bin/calicodrift-sim" service --id registry-1 --serves registry \
  --machine-list "$list"

make_signers
start_router router-1 --machine-list-interval-ms 100 --claim-view-delay-ms 300
start_router router-2 --machine-list-interval-ms 100 --claim-view-delay-ms 300 \
  --seeds "$(address router-1 peer)"
router1=$(address router-1 router)
router2=$(address router-2 router)

api_key=demo-key
sed "s/DEMO_KEY_HASH/$(key_hash "$api_key")/" examples/demo-bundle.json >"$work/bundle.json"
"$bin/calicodriftctl" bundle check "$work/bundle.json"
sign_and_submit "$work/bundle.json"
for router in "$router1" "$router2"; do
  wait_for curl -sf "http://$router/readyz"
done
"$bin/calicodriftctl" bundle status --routers "$router1,$router2"
# Both routers need their first probe of both engines and of the service.
for router in "$router1" "$router2"; do
  wait_for curl -sf -H "Authorization: Bearer $api_key" "http://$router/registry/ping"
done
sleep 0.5

manifest=$(printf 'line %03d of a long package manifest. ' $(seq 60))
body() {
  printf '{"model":"demo-model","max_tokens":6,"stream":%s,"messages":[{"role":"system","content":"%s"},{"role":"user","content":"%s"}]}' \
    "$1" "$manifest" "$2"
}
# answer HEADERS_FILE BODY_FILE: engine, cached tokens and text of one answer, on one line.
answer() {
  local engine cached text
  engine=$(sed -n 's/^X-Backend: //Ip' "$1" | tr -d '\r')
  cached=$(grep -o '"cached_tokens":[0-9]*' "$2" | tail -1 | cut -d: -f2)
  prompt=$(grep -o '"prompt_tokens":[0-9]*' "$2" | tail -1 | cut -d: -f2)
  text=$(grep -o '"content":"[^"]*"' "$2" | cut -d'"' -f4 | tr -d '\n')
  echo "engine=$engine cached=$cached of $prompt prompt tokens  answer: $text"
}
number=0
for stream in false true; do
  for router in "$router1" "$router2"; do
    number=$((number + 1))
    curl -sf -N -D "$work/headers" -o "$work/answer" -H "Authorization: Bearer $api_key" \
      -d "$(body "$stream" "question $number")" "http://$router/v1/chat/completions"
    echo "request $number stream=$stream: $(answer "$work/headers" "$work/answer")"
  done
done
# The first start of a fleet: both routers must have agreed that they keep the claims together.
claims_ready() {
  local metrics
  metrics=$(curl -sf "http://$1/metrics")
  grep -qx 'calicodrift_claim_members 2' <<<"$metrics" &&
    grep -qx 'calicodrift_claim_voting_groups 64' <<<"$metrics"
}
for router in "$router1" "$router2"; do
  wait_for claims_ready "$router"
done
# Keys must be later than the start of the replicas' memory by two clock bounds.
sleep 1.1
echo "not-repeatable call:"
# A UUIDv7: the time in milliseconds, then random digits.
random=$(tr -d - </proc/sys/kernel/random/uuid)
key=$(printf '%012x' "$(date +%s%3N)" | sed -E 's/^(.{8})(.{4})$/\1-\2/')-7${random:0:3}-8${random:3:3}-${random:6:12}
curl -sf -X POST -H "Authorization: Bearer $api_key" -H "Idempotency-Key: $key" \
  -d '{"package":"libfoo","version":"1.2.3"}' "http://$router1/registry/downloads"
echo
echo "demo: done"
