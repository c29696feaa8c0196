#!/usr/bin/env bash
# Starts a platform, two engines of different speed, one ordinary service and two routers on
# loopback, rolls out a signed bundle, sends requests that share a prefix, and ends by itself.
set -euo pipefail
bin=${1:-build/bin}
work=$(mktemp -d)
pids=()
stop_all() {
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

# start NAME PROGRAM ARGUMENT...: runs it in the background with its output in $work/NAME.out.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
}

# address NAME PORT_NAME: waits for the line "listening PORT_NAME ADDRESS" and prints the address.
address() {
  for _ in $(seq 200); do
    if grep -q "^listening $2 " "$work/$1.out"; then
      sed -n "s/^listening $2 //p" "$work/$1.out"
      return
    fi
    sleep 0.05
  done
  echo "$1 did not start" >&2
  cat "$work/$1.log" >&2
  exit 1
}

wait_for() {
  for _ in $(seq 200); do
    "$@" >/dev/null 2>&1 && return
    sleep 0.05
  done
  echo "timed out: $*" >&2
  exit 1
}

start platform "$bin/calicodrift-sim" platform
store=$(address platform object-api)
list=$(address platform machine-list)
start engine-fast "$bin/calicodrift-sim" engine --id engine-fast --block-bytes 256 \
  --step-base-us 5000 --machine-list "$list"
start engine-slow "$bin/calicodrift-sim" engine --id engine-slow --block-bytes 256 \
  --step-base-us 15000 --machine-list "$list"
start registry "$bin/calicodrift-sim" service --id registry-1 --serves registry \
  --machine-list "$list"

alice=$("$bin/calicodriftctl" key make --key-file "$work/alice.key")
bob=$("$bin/calicodriftctl" key make --key-file "$work/bob.key")
for node in 1 2; do
  start "router-$node" "$bin/calicodrift" --node-id "router-$node" --listen 127.0.0.1:0 \
    --object-api "$store" --machine-list "$list" --store-poll-interval-ms 100 \
    --machine-list-interval-ms 100 --trusted-signers "alice=$alice,bob=$bob"
done
router1=$(address router-1 router)
router2=$(address router-2 router)

api_key=demo-key
key_hash=$(printf '%s' "$api_key" | sha256sum | cut -d' ' -f1)
sed "s/DEMO_KEY_HASH/$key_hash/" examples/demo-bundle.json >"$work/bundle.json"
"$bin/calicodriftctl" bundle check "$work/bundle.json"
"$bin/calicodriftctl" bundle sign --signer alice --key-file "$work/alice.key" "$work/bundle.json" >/dev/null
"$bin/calicodriftctl" bundle sign --signer bob --key-file "$work/bob.key" "$work/bundle.json" >/dev/null
"$bin/calicodriftctl" bundle submit --object-api "$store" "$work/bundle.json"
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
echo "not-repeatable call:"
# A UUIDv7: the time in milliseconds, then random digits.
random=$(tr -d - </proc/sys/kernel/random/uuid)
key=$(printf '%012x' "$(date +%s%3N)" | sed -E 's/^(.{8})(.{4})$/\1-\2/')-7${random:0:3}-8${random:3:3}-${random:6:12}
curl -sf -X POST -H "Authorization: Bearer $api_key" -H "Idempotency-Key: $key" \
  -d '{"package":"libfoo","version":"1.2.3"}' "http://$router1/registry/downloads"
echo
echo "demo: done"
