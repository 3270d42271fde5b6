#!/usr/bin/env bash
# Builds with sanitizers and warnings as errors, then runs the formatter, the linter, the fuzzer and
# all tests. The last line is "N passed, N failed". Failures of tests that are listed in KNOWN-RED.txt
# are printed and not counted as failed.
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

# Runs test programs in parallel; writes the output and exit code of each to files in $BUILD.
run_tests() { # AT_A_TIME NAME...
	local at_a_time=$1
	shift
	printf '%s\n' "$@" | xargs -P "$at_a_time" -I{} sh -c \
		'"$BUILD/tests/{}" >"$BUILD/{}.out" 2>&1; echo $? >"$BUILD/{}.rc"'
}

# Counts the failures of a program that are listed in KNOWN-RED.txt, and prints their names.
count_known() { # NAME
	local name=$1 test n known=0
	while IFS='|' read -r test _; do
		test=$(echo "$test" | xargs)
		[ "${test%%/*}" = "$name" ] || continue
		n=$(grep -E ':[FE]:' "$BUILD/$name.out" | grep -c ":${test#*/}:")
		[ "$n" = 0 ] && continue
		echo "KNOWN RED $test" >&2
		known=$((known + n))
	done < <(grep -v '^#' KNOWN-RED.txt)
	echo "$known"
}

# Adds up the checks of a finished program; a program that reports no checks counts as one.
count_test() { # NAME
	local name=$1 out="$BUILD/$1.out" checks bad known=0
	checks=$(sed -n 's/.*Checks: \([0-9]*\),.*/\1/p' "$out" | awk '{n += $1} END {print n + 0}')
	bad=$(grep -cE ':[FE]:' "$out")
	[ "$checks" = 0 ] && checks=1
	[ "$(cat "$BUILD/$name.rc")" != 0 ] && [ "$bad" = 0 ] && bad=1
	if [ "$bad" != 0 ]; then
		known=$(count_known "$name")
		cat "$out"
	fi
	echo "$name: $((checks - bad)) passed, $((bad - known)) failed, $known known red"
	passed=$((passed + checks - bad))
	failed=$((failed + bad - known))
}

echo "parameters of property tests: $RC_PARAMS"
step lint tools/lint.sh
step fuzz tools/fuzz.sh 20000 1
for example in examples/*.yaml; do
	case $example in *node*) continue ;; esac
	step "$example" "$BUILD/currantscale" check "$example"
done
names() { basename -a "$@" | sed 's/\.[^.]*$//'; }
quick=$(names tests/unit_*.c tests/prop_*.cc)
fleets=$(names tests/proc_*.c | grep -v '^proc_crowd$')
# Measures the memory of its node and floods it: no other test may run beside it.
alone=proc_crowd
# Each process test runs many processes; few run at a time, so that machine load does not break
# their time limits.
# shellcheck disable=SC2086
run_tests 4 $quick &
# shellcheck disable=SC2086
run_tests 3 $fleets
wait
run_tests 1 $alone
for name in $quick $fleets $alone; do
	count_test "$name"
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
