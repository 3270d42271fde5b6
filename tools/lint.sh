#!/usr/bin/env bash
# Runs the formatter and the linters; prints their findings and fails if there are any.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD:-build-check}
git ls-files '*.c' '*.h' '*.cc' | grep -v 'pb-c' | xargs clang-format --dry-run --Werror
[ -f "$build/compile_commands.json" ] ||
	cmake -S . -B "$build" -G Ninja -DCS_SANITIZE=ON >/dev/null
git ls-files 'packages/*.c' 'platform/*.c' | grep -v 'pb-c' |
	xargs -P "$(nproc)" -n 4 clang-tidy -p "$build" --quiet 2>/dev/null
cppcheck --quiet --error-exitcode=1 --enable=warning,portability --inline-suppr \
	--suppress=missingInclude --suppress=unknownMacro -j "$(nproc)" \
	$(git ls-files 'packages/*.c' 'platform/*.c' | grep -v 'pb-c')
echo "format and lint: clean"
