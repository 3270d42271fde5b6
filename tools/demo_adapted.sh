#!/usr/bin/env bash
# Runs three nodes with the platform adapter against a stub of the platform. One node is killed and
# another is stopped while reports, orders and lookups are sent to node 1. Prints a table of
# results; fails if a request has no complete answer. Stops only processes that it started.
set -eu
cd "$(dirname "$0")/.."
bin=${BUILD:-build}
requests=${REQUESTS:-240}
dir=$(mktemp -d)
pids=()
finish() {
	for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap finish EXIT

"$bin/currantscale" emulate examples/published.json >"$dir/source" &
pids+=($!)
while [ ! -s "$dir/source" ]; do sleep 0.05; done
source=$(sed -n 's/.*"source":"\([^"]*\)".*/\1/p' "$dir/source")
zones=(a1 b1 c1)
for i in 1 2 3; do
	ip=127.31.7.$i
	{
		printf 'adapter: platform\nvm: node-%s\ndata_centre: %s\nregion: r\n' "$i" "${zones[$((i - 1))]}"
		port=8200
		for key in caller_address ready_address lookup_address admin_address metrics_address peer_address; do
			port=$((port + 1))
			printf '%s: %s:%s\n' "$key" "$ip" "$port"
		done
		printf 'source_address: %s\nseeds: ["127.31.7.1:8204", "127.31.7.2:8204"]\n' "$source"
		printf 'data_centres: [{name: a1, region: r}, {name: b1, region: r}, {name: c1, region: r}]\n'
		printf 'lookup_ttl_s: "5"\nstop_grace_s: "8"\nretry_ratio: "0.2"\nretry_window_s: "10"\n'
		printf 'retry_slack: "54"\ncold_factor: "1.5"\ncold_slack: "5"\n'
	} >"$dir/node-$i.yaml"
	"$bin/currantscaled" "$dir/node-$i.yaml" >"$dir/node-$i.log" 2>&1 &
	pids+=($!)
done
for i in 1 2 3; do
	tries=0
	until [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.31.7.$i:8202/-/readyz" || true)" = 200 ]; do
		tries=$((tries + 1))
		if [ "$tries" -gt 100 ]; then
			echo "demo: FAILED, node $i was not ready within 10 s"
			exit 1
		fi
		sleep 0.1
	done
done
sleep 1
echo "demo: 3 nodes are ready; sending $requests requests while node 3 is killed and node 2 is stopped"

send() { # NUMBER: sends a request to node 1, which keeps running
	local n=$1 kind target extra=()
	kind=$((n % 3))
	case $kind in
	0) target=/report/x && extra=(-X POST -H 'X-Currantscale-Pieces: 1,4' -H 'X-Currantscale-Piece-Key: k') ;;
	1) target=/order/x && extra=(-X POST) ;;
	2) target=/read/x ;;
	esac
	curl -s -o /dev/null -w "$target %{http_code} %{exitcode}\n" --max-time 9 "${extra[@]}" \
		-H 'Host: demo.example' -H 'X-Currantscale-Key: demo-key' -H 'X-Currantscale-Deadline-Ms: 8000' \
		-H "X-Currantscale-Attempt-Id: demo-$n" "http://127.31.7.1:8201$target" || true
}
export -f send
seq "$requests" | xargs -P 12 -I{} bash -c 'send {}' >"$dir/answers" &
load=$!
sleep 1
kill -9 "${pids[3]}"
sleep 1
kill -TERM "${pids[2]}"
wait "$load"
wait "${pids[2]}" && echo "demo: node 2 stopped gracefully with exit code 0"
sort "$dir/answers" | uniq -c
"$bin/currantscale" status 127.31.7.1:8204
if grep -qv ' 200 0$' "$dir/answers"; then
	grep -h -e not_run -e chain_refused "$dir"/node-1.log | head -n 5
	echo "demo: FAILED, some requests have no complete answer"
	exit 1
fi
echo "demo: every request has a complete answer"
