#!/usr/bin/env bash
# Runs seven nodes in three data centres with emulated upstreams, behind a proxy that adds the
# latencies of the document. One data centre is taken out of service and back during a mixed load.
# Prints a table of results; fails if a promise was broken. Stops only processes that it started.
set -eu
cd "$(dirname "$0")/.."
bin=${BUILD:-build}
seconds=${SECONDS_OF_LOAD:-40}
rate=${RATE:-60}
seed=${SEED:-1}
dir=$(mktemp -d)
pids=()

# shellcheck source=tools/fleet.sh
. tools/fleet.sh
trap finish EXIT

echo "demo: starting the emulator of the platform and the upstreams, with latencies between regions"
start_emulator examples/association.yaml "$seed"
put "$platform" "/control/upstreams/*" '{"service_ms":8,"service_ms_p99":40,"tokens":20,"token_ms":10}'

start_nodes
echo "demo: $ready of 7 ready; $rate requests per second for $seconds s, seed $seed"
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
