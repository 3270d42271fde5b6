#!/usr/bin/env bash
# Compares the adaptive policy with the baseline on real processes. Starts a fleet for each policy
# and seed, warms it up, and runs a part for each load factor, some of them with an outage of a data
# centre whose upstreams return cold. Writes a row for each part to $OUT/policy.csv, and the share of
# requests in time for each second of an outage to $OUT/departure.csv. CAPACITY, in requests per
# second, is found by varying LOADS and reading the goodput.
set -eu
cd "$(dirname "$0")/.."
bin=${BUILD:-build}
out=${OUT:-docs/measurements}
capacity=${CAPACITY:-80}
policies=${POLICIES:-adaptive baseline}
loads=${LOADS-0.7 1.0 1.5 3.0}
departures=${DEPARTURES-0.6 1.0}
seeds=${SEEDS:-1 2 3 4 5}
warm_s=${WARM_SECONDS:-3}
seconds=${SECONDS_OF_LOAD:-12}
lead_s=${LEAD_SECONDS:-4} # at the same rate, not counted; queues grow up to the deadline
away_s=${DEPARTURE_SECONDS:-24}
deadline_ms=4000
controls=${CONTROLS:-} # further settings of every upstream, such as ,"ignore_rank":1
dir=$(mktemp -d)
pids=()
# shellcheck source=tools/fleet.sh
. tools/fleet.sh
trap 'finish' EXIT

# Few requests are of high-value classes; most of the load is long reports of one account.
mix=(--entry 6,drivers,driver-key,/v1/pipelines/advise,200
	--entry 4,drivers,driver-key,/v1/services/weighbridge/book,40
	--entry 20,members,member-key,/v1/pipelines/advise,200
	--entry 70,reports,report-key,/v1/pipelines/advise,4000)

get() { # HOST:PORT PATH
	exec 3<>"/dev/tcp/${1%:*}/${1#*:}"
	printf 'GET %s HTTP/1.1\r\nHost: emulator\r\nConnection: close\r\n\r\n' "$2" >&3
	sed '1,/^\r$/d' <&3
	exec 3>&-
}

all_warm() { get "$platform" /control/state | 
	jq -e '[.upstreams[] | select(.service != "weighbridge") | .warm] | all' >/dev/null; }

warm_up() {
	local i
	for i in 1 2 3 4 5 6 7 8 9 10; do
		"$bin/currantscale" load --rate 40 --seconds "$warm_s" --seed "$((900 + i))" "${mix[@]}" \
			"$node" >/dev/null 2>&1 || true
		all_warm && return 0
	done
	echo "experiment: some upstreams are not warm" >&2
}

# Restarts the upstreams of a data centre while it is out of service, so that they return cold.
restart_away() { # SECONDS
	local name
	sleep "$1"
	for name in encoder-2 retriever-2 reranker-2 chat-4 chat-5 chat-6 weighbridge-2; do
		put "$platform" "/control/upstreams/$name" '{"restart":true}'
	done
}

# Differences between two states of the emulator: runs and cost in cents of stages, bytes and cost in
# cents of paid links, and arrivals above cold limits.
costs() {
	jq -rn --slurpfile a "$dir/before.json" --slurpfile b "$dir/after.json" '
		def stage: [.upstreams[] | select(.service != "weighbridge")];
		def runs: [stage[].ran] | add;
		def stage_cents: [stage[] | .ran * .cost_cents_per_k / 1000] | add;
		def paid: [.links.traffic[] | select(.price_per_gb_cents > 0)];
		def bytes: [paid[] | .bytes_up + .bytes_down] | add // 0;
		def link_cents: [paid[] | (.bytes_up + .bytes_down) * .price_per_gb_cents / 1e9] | add // 0;
		def cold: [.upstreams[].cold_overruns] | add;
		[($b[0] | runs) - ($a[0] | runs), ($b[0] | stage_cents) - ($a[0] | stage_cents),
		 ($b[0] | bytes) - ($a[0] | bytes), ($b[0] | link_cents) - ($a[0] | link_cents),
		 ($b[0] | cold) - ($a[0] | cold)] | @csv'
}

# Summarizes the request records: share in time by class, goodput, outcomes and latencies.
figures() { # SECONDS LEAD: requests scheduled in the first LEAD seconds are not counted
	tail -n +2 "$dir/records.csv" | awk -F, -v lead="$2" '$1 >= lead * 1000' | sort -t, -k5,5n | awk -F, -v s="$(($1 - $2))" -v d="$deadline_ms" -v dir="$dir" '
		{ n[$2]++; o[$4]++; ok = $4 == "complete"; hit = ok && $5 <= d; in_time[$2] += hit }
		$3 ~ /pipelines/ { good += hit
			if (ok) { whole[++w] = $5; first[w] = $6 } }
		function at(a, k, q) { return k ? a[int((k - 1) * q) + 1] : 0 }
		function pct(c) { return n[c] ? 100 * in_time[c] / n[c] : 0 }
		END {
			for (i = 1; i <= w; i++) print first[i] | "sort -n >" dir "/first"
			printf "%d,%.2f,%.2f,%.2f,%.2f,%d,%d,%d,%d,%.0f,%.0f", NR, pct("drivers"),
				pct("members"), pct("reports"), good / s, o["complete"], o["not_run"],
				o["unknown"], o["unreachable"], at(whole, w, 0.5),
				at(whole, w, 0.99)
		}'
}

first_p95() {
	awk '{ a[NR] = $1 } END { printf "%.0f", NR ? a[int((NR - 1) * 0.95) + 1] : 0 }' "$dir/first"
}

over_time() { # POLICY FACTOR SEED: requests and requests in time by class and scheduled second
	tail -n +2 "$dir/records.csv" | awk -F, -v p="$1" -v f="$2" -v s="$3" -v d="$deadline_ms" '
		{ k = int($1 / 1000) "," $2; n[k]++; hit[k] += $4 == "complete" && $5 <= d }
		END { for (k in n) printf "%s,%s,%s,%s,%d,%d\n", p, f, s, k, n[k], hit[k] }' |
		sort -t, -k4,4n -k5,5 >>"$out/departure.csv"
}

# warm_after_ms also ends a cold start by time, since the baseline, which has no slow start, never
# gets an upstream warm.
start_fleet() { # POLICY SEED
	sed -e "s/policy: adaptive/policy: $1/" -e 's/, limit_per_s: 50//' examples/association.yaml \
		>"$dir/document.yaml"
	start_emulator "$dir/document.yaml" "$2"
	put "$platform" "/control/upstreams/*" '{"service_ms":8,"service_ms_p99":40,"tokens":30,
		"token_ms":30,"warm_after":5,"warm_after_ms":4000'"$controls}"
	for i in 1 2 3; do put "$platform" "/control/upstreams/weighbridge-$i" '{"warm_after":1}'; done
	start_nodes
	warm_up
}

part() { # POLICY FACTOR SEED SECONDS DATA_CENTRE
	local rate load away=() rc=0 promises restart= lead=$lead_s answers
	rate=$(awk "BEGIN { print $capacity * $2 }")
	number=$((number + 1))
	load=$(cut -d' ' -f1 /proc/loadavg)
	get "$platform" /control/state >"$dir/before.json"
	if [ "$5" != none ]; then
		lead=0
		away=(--out "$5,$(($4 / 4)),$(($4 * 5 / 8))")
		restart_away "$(($4 / 2))" &
		restart=$!
	fi
	"$bin/currantscale" load --json --threads 2000 --platform "$platform" --rate "$rate" \
		--seconds "$4" --seed "$(($3 * 1000 + number))" --deadline-ms "$deadline_ms" "${away[@]}" \
		--records "$dir/records.csv" "${mix[@]}" "$node" >"$dir/load.json" 2>"$dir/load.err" || rc=$?
	[ -z "$restart" ] || wait "$restart"
	get "$platform" /control/state >"$dir/after.json"
	answers=$(awk -F, '$3 ~ /pipelines/ { done += $4 == "complete"
		admitted += $4 == "complete" || $4 == "unknown" } END { printf "%d,%d", done, admitted }' \
		"$dir/records.csv")
	promises=$(jq -r '.promises | [.doubled, .false_not_run, .false_complete, .wrong_answers,
		.sent_to_out] | @csv' "$dir/load.json")
	printf '%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s\n' "$1" "$2" "$3" "$5" "$4" "$rate" "$load" "$rc" \
		"$(figures "$4" "$lead")" "$(first_p95)" "$(costs)" "$answers" "$promises" | tee -a "$out/policy.csv"
	[ "$5" = none ] || over_time "$1" "$2" "$3"
}

stop_fleet() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	sleep 0.2
	finish # a second signal shortens the stop of the nodes
	pids=()
	dir=$(mktemp -d)
}

mkdir -p "$out"
echo "policy,factor,seed,out,seconds,rate,load_average,exit,sent,drivers_pct,members_pct,reports_pct,\
goodput,complete,not_run,unknown,unreachable,p50_ms,p99_ms,first_p95_ms,stage_runs,\
stage_cents,paid_bytes,paid_cents,cold_overruns,answers,admitted,doubled,false_not_run,false_complete,wrong_answers,\
sent_to_out" >"$out/policy.csv"
echo "policy,factor,seed,second,class,sent,in_time" >"$out/departure.csv"
for seed in $seeds; do
	for policy in $policies; do
		number=0
		start_fleet "$policy" "$seed"
		for factor in $departures; do part "$policy" "$factor" "$seed" "$away_s" zilina; done
		for factor in $loads; do part "$policy" "$factor" "$seed" "$seconds" none; done
		stop_fleet
	done
done
