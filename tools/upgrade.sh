#!/usr/bin/env bash
# Runs process tests on fleets in which every second node is of an earlier build: those of promises
# that both builds make. Usage: tools/upgrade.sh COMMIT [TEST...]
set -eu
cd "$(dirname "$0")/.."
commit=$(git rev-parse --verify --short "$1^{commit}")
shift
tests=("$@")
[ ${#tests[@]} -gt 0 ] || tests=(proc_limits proc_advice proc_quarantine proc_drain proc_regions proc_adapter)
source=target/earlier/$commit
if [ ! -x "$source/build/currantscaled" ]; then
	mkdir -p "$source"
	git archive "$commit" | tar -x -C "$source"
	cmake -S "$source" -B "$source/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCS_NODE_ONLY=ON >/dev/null
	ninja -C "$source/build" | tail -n 1
fi
CS_EARLIER_NODE=$PWD/$source/build/currantscaled
export CS_EARLIER_NODE
failed=0
for test in "${tests[@]}"; do
	echo "$test, every second node of $commit:"
	"build/tests/$test" 2>&1 | grep -E '^[0-9]+%|:[FE]:' || true
	[ "${PIPESTATUS[0]}" = 0 ] || failed=$((failed + 1))
done
echo "$((${#tests[@]} - failed)) passed, $failed failed"
[ "$failed" = 0 ]
