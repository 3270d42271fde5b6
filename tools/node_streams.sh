#!/usr/bin/env bash
# Measures one node with STREAMS concurrent streams: CPU time, resident memory, and the time to the
# first token and the gaps between blocks of a stream at the caller.
set -eu
cd "$(dirname "$0")/.."
bin=${BUILD:-build}
streams=${STREAMS:-200}
seconds=${SECONDS_OF_LOAD:-12}
tokens=75
seed=${SEED:-1}
dir=$(mktemp -d)
pids=()
# shellcheck source=tools/fleet.sh
. tools/fleet.sh
trap finish EXIT

memory_kb() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
load() { # RATE SECONDS
	"$bin/currantscale" load --json --threads 600 --rate "$1" --seconds "$2" --seed "$seed" \
		--entry 1,drivers,driver-key,/v1/pipelines/advise,200 "$node"
}

sed -e '/name: chat, kind: engine/s/warm_limit: 16/warm_limit: 40/' examples/association.yaml \
	>"$dir/document.yaml"
start_emulator "$dir/document.yaml" "$seed"
# With 40 concurrent requests, an engine takes up to twice as long per token; an answer takes 3 s.
put "$platform" "/control/upstreams/*" \
	"{\"service_ms\":8,\"tokens\":$tokens,\"token_ms\":25,\"warm_after_ms\":1000}"
start_node 1 bratislava
daemon=${pids[1]}
node=$(field "$dir/node-1.out" caller)
idle_kb=$(memory_kb "$daemon")
for _ in $(seq 100); do
	"$bin/currantscale" addresses "$node" 2>/dev/null | grep -q node-1 && break
	sleep 0.1
done
load "$((streams / 3))" 14 >/dev/null 2>&1 || true # concurrency windows grow with completions
load "$((streams / 3))" "$seconds" >"$dir/load.json" 2>/dev/null &
running=$!
sleep "$((seconds / 2))"
begin=$(ticks "$daemon")
for i in 1 2 3 4; do
	sleep 1
	memory=$(memory_kb "$daemon")
	exec 3<>"/dev/tcp/${platform%:*}/${platform#*:}"
	printf 'GET /control/state HTTP/1.1\r\nHost: emulator\r\nConnection: close\r\n\r\n' >&3
	open=$(sed '1,/^\r$/d' <&3 | jq '[.upstreams[] | select(.service == "chat") | .running] | add')
	exec 3>&-
	echo "second $i: $open streams open, $memory kB resident (idle $idle_kb kB)"
done
used=$(($(ticks "$daemon") - begin))
wait "$running" || true
echo "CPU time of the node: $((used * 1000 / $(getconf CLK_TCK) / 4)) ms per second"
echo "load average: $(cut -d' ' -f1 /proc/loadavg)"
jq -r --argjson t "$tokens" --argjson s "$seconds" '.classes[0] |
	"sent \(.sent), complete \(.complete), not_run \(.not_run), unknown \(.unknown)\n" +
	"tokens a second: \(.complete * $t / $s | floor)\n" +
	"first token p50 \(.first_p50_ms | floor) ms, p95 \(.first_p95_ms | floor) ms; " +
	"gap p95 \(.gap_p95_ms | floor) ms of \(.gaps) gaps"' "$dir/load.json"
