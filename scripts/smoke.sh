#!/bin/bash
# The shipped binary, as separate processes: it checks and publishes a configuration, serves one
# request from a caller to a target and back, and ends cleanly. Every wait is bounded.
set -euo pipefail

BINARY=$PWD/build/masticlink
DIR=$(mktemp -d)
PIDS=()

# Only processes that this script started are ended, by their ids.
finish() {
  local status=$?
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then tail -n 20 "$DIR"/*.log >&2 || true; fi
  rm -rf "$DIR"
  exit "$status"
}
trap finish EXIT

# poll WHAT COMMAND...: tries a command again for 20 s.
poll() {
  local what=$1
  shift
  for _ in $(seq 100); do
    if "$@" >"$DIR/poll.out" 2>/dev/null; then return 0; fi
    sleep 0.2
  done
  echo "smoke: $what did not come about in 20 s" >&2
  return 1
}

start() {
  local name=$1
  shift
  "$BINARY" "$@" >"$DIR/$name.log" 2>&1 &
  PIDS+=($!)
}

# Prints the address that a stand-in says it listens on.
get_address() {
  poll "$1" grep -q '^listening on ' "$DIR/$1.log"
  sed -n 's/^listening on //p' "$DIR/$1.log"
}

test "$("$BINARY" --version)" = "masticlink, $(node -p "require('./package.json').version")"
"$BINARY" --help | grep -q publish
for example in maree-boreale makaa; do "$BINARY" check "examples/$example"; done

# A wrong command line is told apart from a failure.
code=0
"$BINARY" chek examples/makaa 2>/dev/null || code=$?
test "$code" -eq 2

start store stand-in store
start vms stand-in vms
start target stand-in target
STORE=http://$(get_address store)
VMS=http://$(get_address vms)/vms
TARGET=$(get_address target)
read -r CALLERS PEERS < <(node -e "
  const open = () => new Promise((done) => {
    const server = require('node:net').createServer().listen(0, '127.0.0.1', () => done(server));
  });
  Promise.all([open(), open()]).then((servers) => {
    console.log(servers.map((server) => server.address().port).join(' '));
    servers.forEach((server) => server.close());
  });")

mkdir "$DIR/fleet"
cat >"$DIR/fleet/zones.ini" <<END
[zone.quai]
region = saint-laurent
END
cat >"$DIR/fleet/horaires.service.ini" <<END
[service]
name = horaires
path-prefix = /horaires
port = 8080
[capacity]
slots = 2
max-connections = 200
[objective]
latency = 100ms
share = 99%
[targets.quai]
horaires-1 = $TARGET
END
cat >"$DIR/entry.ini" <<END
[process]
vm = entry-1
zone = quai
region = saint-laurent
admin-token = token-of-the-smoke-run
[listen]
callers = 127.0.0.1:$CALLERS
peers = 127.0.0.1:$PEERS
[platform]
store = $STORE
vm-list = $VMS
END

"$BINARY" publish "$DIR/fleet" --store "$STORE"
start entry entry --settings "$DIR/entry.ini"
ENTRY_PID=${PIDS[-1]}
poll 'an answer from a target' curl -sf "http://127.0.0.1:$CALLERS/horaires/today"
grep -q '"request":"GET /horaires/today"' "$DIR/poll.out"

# A second publication is in force on the one entry VM.
sed -i 's/100ms/90ms/' "$DIR/fleet/horaires.service.ini"
"$BINARY" publish "$DIR/fleet" --store "$STORE" --token token-of-the-smoke-run --wait |
  grep -q 'in force on 1 of 1 entry VMs'
"$BINARY" status --store "$STORE" | grep -q 'generation 2'
"$BINARY" burn --store "$STORE" | grep -q horaires
"$BINARY" burn --store "$STORE" --html "$DIR/burn.html" 2>/dev/null
grep -q '<svg ' "$DIR/burn.html"

# A planned stop ends the process by itself, with 0.
kill -TERM "$ENTRY_PID"
poll 'the end of the entry process' bash -c "! kill -0 $ENTRY_PID"
wait "$ENTRY_PID"
echo 'smoke: ok'
