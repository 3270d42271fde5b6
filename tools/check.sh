#!/usr/bin/env bash
# Builds with warnings as errors and sanitizers, runs formatter, linter and all tests.
# Ends with "N passed, N failed". Tests listed in KNOWN-RED.txt are printed and passed over.
set -u
cd "$(dirname "$0")/.."
export BUILD=${BUILD:-build-check}
export RC_PARAMS=${RC_PARAMS:-"seed=20261203 max_success=300"}
export ASAN_OPTIONS=${ASAN_OPTIONS:-detect_leaks=1}
export UBSAN_OPTIONS=${UBSAN_OPTIONS:-print_stacktrace=1}
passed=0
failed=0

cmake -S . -B "$BUILD" -G Ninja -DCS_SANITIZE=ON >/dev/null && ninja -C "$BUILD" | tail -n 20
if [ "${PIPESTATUS[0]}" != 0 ]; then
	echo "build failed"
	echo "0 passed, 1 failed"
	exit 1
fi

step() { # NAME COMMAND...
	local name=$1
	shift
	if "$@"; then passed=$((passed + 1)); else
		echo "FAILED $name"
		failed=$((failed + 1))
	fi
}

# Counts a test program: the checks of `check`, else the program as one.
run_test() {
	local name=$1 out="$BUILD/$1.out" rc checks bad known
	"$BUILD/tests/$name" >"$out" 2>&1
	rc=$?
	checks=$(sed -n 's/.*Checks: \([0-9]*\),.*/\1/p' "$out" | awk '{n += $1} END {print n + 0}')
	bad=$(grep -cE ':[FE]:' "$out")
	[ "$checks" = 0 ] && checks=1
	[ "$rc" != 0 ] && [ "$bad" = 0 ] && bad=1
	known=0
	if [ "$bad" != 0 ]; then
		while IFS='|' read -r test _; do
			test=$(echo "$test" | xargs)
			[ -n "$test" ] || continue
			n=$(grep -E ':[FE]:' "$out" | grep -c ":${test#*/}:")
			if [ "${test%%/*}" = "$name" ] && [ "$n" != 0 ]; then
				echo "KNOWN RED $test"
				known=$((known + n))
			fi
		done < <(grep -v '^#' KNOWN-RED.txt)
		cat "$out"
	fi
	echo "$name: $((checks - bad)) passed, $((bad - known)) failed, $known known red"
	passed=$((passed + checks - bad))
	failed=$((failed + bad - known))
}

echo "seed of properties: $RC_PARAMS"
step lint tools/lint.sh
step fuzz tools/fuzz.sh 20000 1
for example in examples/*.yaml; do
	case $example in *node*) continue ;; esac
	step "$example" "$BUILD/currantscale" check "$example"
done
for source in tests/unit_*.c tests/prop_*.cc tests/proc_*.c; do
	name=$(basename "$source")
	run_test "${name%.*}"
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
