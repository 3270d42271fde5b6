#!/usr/bin/env bash
# Builds the stand-ins of the scripts; needs a C compiler alone. Run from anywhere.
set -eu
cd "$(dirname "$0")"
for case in [0-9]/case.c; do
	"${CC:-cc}" -std=gnu11 -O2 -Wall -Wextra -pthread -o "${case%.c}" "$case" stand/stand.c
done
