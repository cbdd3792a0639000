#!/usr/bin/env bash
# Runs a small fleet on loopback: the stand-in store, six nodes in three
# regions with an upstream beside each, and the operators' client. The script
# applies settings, calls services and changes a route without restarting a node.
# It exits non-zero if a step fails, and stops all processes at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/bin
WORK=$(mktemp -d)
PIDS=()

finish() {
  local code=$?
  trap - EXIT
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$code" -ne 0 ]; then
    echo "demo failed; last log lines:" >&2
    tail -n 3 "$WORK"/*.log >&2 || true
  fi
  rm -rf "$WORK"
  exit "$code"
}
trap finish EXIT

# start NAME PROGRAM ARGS: runs a program in the background with its log in NAME.log.
start() {
  local name=$1
  shift
  "$@" 2>"$WORK/$name.log" &
  PIDS+=($!)
}

# show COMMAND: prints the command as a person would type it and runs it.
show() {
  echo
  echo "\$ $*" | sed "s#$BIN/##; s#$WORK/##g"
  "$@"
}

# expect WANTED COMMAND: runs show COMMAND and fails if its output lacks WANTED.
expect() {
  local wanted=$1 output
  shift
  output=$(show "$@") || { echo "$output"; return 1; }
  echo "$output"
  grep -qF "$wanted" <<<"$output" || { echo "expected to see: $wanted" >&2; return 1; }
}

# token NAME: creates an operator's token in NAME.token and its hash in NAME.hash.
token() {
  "$BIN/srctl" token new >"$WORK/$1.new"
  awk '/^token/ {print $2}' "$WORK/$1.new" >"$WORK/$1.token"
  grep -o 'sha256:[0-9a-f]*' "$WORK/$1.new" >"$WORK/$1.hash"
}

token admin
token ann
token sol
"$BIN/srctl" keys new "$WORK/keys" >/dev/null

echo "Starting the store, six nodes and six upstreams."
start store "$BIN/srstore" --listen 127.0.0.1:17000
ZONES=(kigali-1:kigali kigali-2:kigali north-1:north north-2:north south-1:south south-2:south)
for i in "${!ZONES[@]}"; do
  zone=${ZONES[$i]%%:*}
  region=${ZONES[$i]##*:}
  service=quote-desk
  if [ $((i % 2)) -eq 1 ]; then service=survey-store; fi
  start "node-$zone" "$BIN/srnode" --name "node-$zone" --availability-zone "$zone" --region "$region" \
    --callers "127.0.0.1:$((17100 + i))" --peers "127.0.0.1:$((17200 + i))" --operators "127.0.0.1:$((17300 + i))" \
    --store 127.0.0.1:17000 --admin-hash "$(cat "$WORK/admin.hash")" --drain-delay 1s \
    --tls-ca "$WORK/keys/ca.pem" --tls-cert "$WORK/keys/cert.pem" --tls-key "$WORK/keys/key.pem"
  start "upstream-$zone" "$BIN/srupstream" --name "upstream-$zone" --service "$service" \
    --listen "127.0.0.1:$((17400 + i))" --control "127.0.0.1:$((17500 + i))" --node "127.0.0.1:$((17300 + i))"
done

for i in "${!ZONES[@]}"; do
  for attempt in $(seq 100); do
    if curl -sf -o "$WORK/ready" "http://127.0.0.1:$((17300 + i))/readyz"; then break; fi
    if [ "$attempt" -eq 100 ]; then echo "node $i is not ready" >&2; exit 1; fi
    sleep 0.1
  done
done
echo "All nodes are ready."

sed "s#ANN_HASH#$(cat "$WORK/ann.hash")#; s#SOL_HASH#$(cat "$WORK/sol.hash")#" demo/admin.yaml >"$WORK/admin.yaml"
KIGALI=127.0.0.1:17300
NORTH=127.0.0.1:17302
SOUTH=127.0.0.1:17304

echo
echo "The administrators declare two teams; each team applies its own subtree, through different nodes."
expect "version 1" "$BIN/srctl" --server $KIGALI --token-file "$WORK/admin.token" apply --wait "$WORK/admin.yaml"
expect "version 2" "$BIN/srctl" --server $SOUTH --token-file "$WORK/sol.token" apply --wait demo/surveys.yaml
expect "version 3" "$BIN/srctl" --server $NORTH --token-file "$WORK/ann.token" apply --wait demo/quoting.yaml

for attempt in $(seq 100); do
  ready=$("$BIN/srctl" --server $KIGALI --token-file "$WORK/ann.token" --output json members | grep -o '"state": *"ready"' | wc -l)
  if [ "$ready" -eq 6 ]; then break; fi
  if [ "$attempt" -eq 100 ]; then echo "only $ready of 6 upstreams are ready" >&2; exit 1; fi
  sleep 0.1
done
show "$BIN/srctl" --server $KIGALI --token-file "$WORK/ann.token" members

echo
echo "A call enters at a node in kigali-2, which has no quote-desk beside it, and is answered beside another node."
expect '"service":"quote-desk"' curl -sf -H 'Host: quotes.example' http://127.0.0.1:17101/quotes/42
expect '"service":"survey-store"' curl -sf -H 'Host: surveys.example' http://127.0.0.1:17104/photos/7
expect 'quoting/route/quotes' "$BIN/srctl" --server $SOUTH --token-file "$WORK/ann.token" explain GET http://quotes.example/quotes/42

echo
echo "A faulty settings file is refused with path, line and reason; nothing is applied."
sed 's/timeout: 2s/timeout: 2/' demo/quoting.yaml >"$WORK/faulty.yaml"
if show "$BIN/srctl" --server $NORTH --token-file "$WORK/ann.token" apply "$WORK/faulty.yaml"; then exit 1; else echo "(exit code $?)"; fi

echo
echo "A token of one team changes nothing of another team."
if show "$BIN/srctl" --server $NORTH --token-file "$WORK/sol.token" apply demo/quoting-moved.yaml; then exit 1; else echo "(exit code $?)"; fi

echo
echo "The route moves to another service; every node follows without a restart."
expect "version 4" "$BIN/srctl" --server $SOUTH --token-file "$WORK/ann.token" apply --wait demo/quoting-moved.yaml
for port in 17100 17101 17102 17103 17104 17105; do
  expect '"service":"survey-store"' curl -sf -H 'Host: quotes.example' "http://127.0.0.1:$port/quotes/42"
done
expect "6" "$BIN/srctl" --server $KIGALI --token-file "$WORK/ann.token" convergence
echo
echo "The demo is complete."
