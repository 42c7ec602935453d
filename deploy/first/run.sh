#!/usr/bin/env bash
# Three hubs, a control service and a stand-in archive on loopback; then branches move from hub-b to hub-c.
set -euo pipefail
cd "$(dirname "$0")/../.."
echo "Builds the command and the stand-ins, then plays for some 10 s: minutes on a new checkout, seconds after that."
cargo build --profile measured --locked -p harestage-cli -p harestage-standins
bin=target/measured
scratch=$(mktemp -d)
started=()
finish() {
    [ ${#started[@]} -eq 0 ] || kill "${started[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$scratch"
}
trap finish EXIT
launch() { "$@" >>"$scratch/log" 2>&1 & started+=($!); }
launch $bin/harestage-standin deploy/first/standins.json
launch $bin/harestage control --listen 127.0.0.1:9100 --journal "$scratch/journal" --first deploy/first/shape.json
for hub in a b c; do launch $bin/harestage hub deploy/first/hub-$hub.json; done
sleep 1
$bin/harestage shape status
$bin/harestage shape plan deploy/first/shape-west-moves.json
$bin/harestage shape apply deploy/first/shape-west-moves.json --by first-minutes
$bin/harestage shape status
