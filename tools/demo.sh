#!/usr/bin/env bash
# Seven nodes in three data centres before emulated upstreams, behind a proxy with the latencies
# of the document. A mixed load runs while one data centre is taken out and back. Ends with a
# table; fails when a promise was broken. Ends only what it started.
set -eu
cd "$(dirname "$0")/.."
bin=${BUILD:-build}
seconds=${SECONDS_OF_LOAD:-40}
rate=${RATE:-60}
seed=${SEED:-1}
dir=$(mktemp -d)
pids=()

finish() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap finish EXIT

field() { # FILE KEY: of the line of JSON with which a program starts
	sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$1" | head -n 1
}

wait_line() { # FILE
	for _ in $(seq 200); do
		[ -s "$1" ] && return 0
		sleep 0.05
	done
	echo "demo: a program did not start" >&2
	exit 1
}

put() { # HOST:PORT PATH BODY
	exec 3<>"/dev/tcp/${1%:*}/${1#*:}"
	printf 'PUT %s HTTP/1.1\r\nHost: emulator\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
		"$2" "${#3}" "$3" >&3
	head -n 1 <&3 | grep -q ' 200 '
	exec 3>&-
}

start_node() { # NUMBER DATA_CENTRE
	local out="$dir/node-$1.out"
	cat >"$dir/node-$1.yaml" <<-YAML
		vm: node-$1
		data_centre: $2
		caller_address: 127.0.0.1:0
		admin_address: 127.0.0.1:0
		peer_address: 127.0.0.1:0
		platform_address: $platform_for_nodes
		source_address: 127.0.1.$1
		admin_key: ops-key
	YAML
	"$bin/currantscaled" "$dir/node-$1.yaml" >"$out" 2>"$dir/node-$1.log" &
	pids+=($!)
	wait_line "$out"
	put "$platform" "/control/vms/node-$1" "{\"id\":\"node-$1\",\"role\":\"entry\",\
\"data_centre\":\"$2\",\"state\":\"live\",\"caller_address\":\"$(field "$out" caller)\",\
\"peer_address\":\"$(field "$out" peer)\",\"source_address\":\"127.0.1.$1\"}"
}

echo "demo: emulator of the platform and the upstreams, with latencies between regions"
"$bin/currantscale" emulate --latency --seed "$seed" examples/association.yaml \
	>"$dir/emulator.out" 2>"$dir/emulator.log" &
pids+=($!)
wait_line "$dir/emulator.out"
platform=$(field "$dir/emulator.out" platform)
platform_for_nodes=$(field "$dir/emulator.out" platform_for_nodes)
put "$platform" "/control/upstreams/*" '{"service_ms":8,"service_ms_p99":40,"tokens":20,"token_ms":10}'

centres=(bratislava zilina kosice)
for i in 1 2 3 4 5 6 7; do start_node "$i" "${centres[$(((i - 1) % 3))]}"; done
echo "demo: 7 nodes started, waiting until all are ready"
node=$(field "$dir/node-1.out" caller)
admins=()
for i in 1 2 3 4 5 6 7; do admins+=("$(field "$dir/node-$i.out" admin)"); done
for _ in $(seq 200); do
	ready=$("$bin/currantscale" status -k ops-key "${admins[@]}" | grep -c ': ready' || true)
	[ "$ready" = 7 ] && break
	sleep 0.1
done
echo "demo: $ready of 7 ready; $rate requests a second for $seconds s, seed $seed"
rc=0
"$bin/currantscale" load --platform "$platform" --rate "$rate" --seconds "$seconds" --seed "$seed" \
	--out "zilina,$((seconds / 4)),$((seconds * 5 / 8))" \
	--entry 4,drivers,driver-key,/v1/pipelines/advise,200 \
	--entry 3,members,member-key,/v1/pipelines/advise,200 \
	--entry 2,reports,report-key,/v1/pipelines/advise,4000 \
	--entry 2,drivers,driver-key,/v1/services/weighbridge/book,40 \
	"$node" || rc=$?
if [ "$rc" = 0 ]; then echo "demo: every promise was kept"; else echo "demo: FAILED (exit $rc)"; fi
exit "$rc"
