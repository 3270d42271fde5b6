# Functions to start and stop a fleet, to be sourced. The script sets bin, dir and pids;
# start_emulator sets platform and platform_for_nodes. Stops only processes that it started.
# shellcheck shell=bash disable=SC2154

finish() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
}

field() { # FILE KEY: reads a field of the JSON line that a program prints when it has started
	sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$1" | head -n 1
}

wait_line() { # FILE
	for _ in $(seq 200); do
		[ -s "$1" ] && return 0
		sleep 0.05
	done
	echo "a program did not start within 10 s" >&2
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

start_emulator() { # DOCUMENT SEED
	"$bin/currantscale" emulate --latency --seed "$2" "$1" >"$dir/emulator.out" \
		2>"$dir/emulator.log" &
	pids+=($!)
	wait_line "$dir/emulator.out"
	platform=$(field "$dir/emulator.out" platform)
	platform_for_nodes=$(field "$dir/emulator.out" platform_for_nodes)
}

# Starts seven nodes in the document's three data centres and waits until they are ready. Sets node to
# the address of the first and ready to the number of ready nodes.
start_nodes() {
	local centres=(bratislava zilina kosice) admins=() i
	for i in 1 2 3 4 5 6 7; do start_node "$i" "${centres[$(((i - 1) % 3))]}"; done
	node=$(field "$dir/node-1.out" caller)
	for i in 1 2 3 4 5 6 7; do admins+=("$(field "$dir/node-$i.out" admin)"); done
	for _ in $(seq 200); do
		ready=$("$bin/currantscale" status -k ops-key "${admins[@]}" | grep -c ': ready' || true)
		[ "$ready" = 7 ] && return 0
		sleep 0.1
	done
}
