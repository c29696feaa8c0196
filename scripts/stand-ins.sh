# Sourced by the measuring scripts: starts processes of the build in the background, waits until
# they listen, signs a bundle, and ends them all with the script.
bin=${BIN:-build/bin}
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
  for _ in $(seq 400); do
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
  for _ in $(seq 400); do
    "$@" >/dev/null 2>&1 && return
    sleep 0.05
  done
  echo "timed out: $*" >&2
  exit 1
}

# start_platform: starts the object API and the machine list; sets $store and $list.
start_platform() {
  start platform "$bin/calicodrift-sim" platform
  store=$(address platform object-api)
  list=$(address platform machine-list)
}

# make_signers: makes the keys of two signers; sets $signers for the routers.
make_signers() {
  signers="alice=$("$bin/calicodriftctl" key make --key-file "$work/alice.key")"
  signers+=",bob=$("$bin/calicodriftctl" key make --key-file "$work/bob.key")"
}

# sign_and_submit FILE: has both signers sign the bundle and stores it.
sign_and_submit() {
  local signer
  for signer in alice bob; do
    "$bin/calicodriftctl" bundle sign --signer "$signer" --key-file "$work/$signer.key" "$1" \
      >/dev/null
  done
  "$bin/calicodriftctl" bundle submit --object-api "$store" "$1"
}

# key_hash API_KEY: the hash that a bundle holds in place of the key.
key_hash() {
  printf '%s' "$1" | sha256sum | cut -d' ' -f1
}

# submit_bundle API_KEY: signs and stores a bundle with tenant t, model m and service registry;
# sets $signers for the routers.
submit_bundle() {
  make_signers
  cat >"$work/bundle.json" <<END
{"version":1,"tenants":[{"id":"t","api_key_sha256":["$(key_hash "$1")"]}],
"models":[{"id":"m","weights_version":1,"block_bytes":256}],
"services":[{"name":"registry","path_prefix":"/registry/"}],
"policies":[{"arms":[{"policy":"PrefixHashBoundedLoad","share":100}]}]}
END
  sign_and_submit "$work/bundle.json" >/dev/null
}

# start_router NAME FLAG...: starts a router; its address is `address NAME router`.
start_router() {
  local name=$1
  shift
  start "$name" "$bin/calicodrift" --node-id "$name" --listen 127.0.0.1:0 --object-api "$store" \
    --machine-list "$list" --trusted-signers "$signers" "$@"
}

# answers ROUTER API_KEY: whether the router answers a completion.
answers() {
  curl -sf -H "Authorization: Bearer $2" -d '{"model":"m","prompt":"ready?","max_tokens":1}' \
    "http://$1/v1/completions"
}
