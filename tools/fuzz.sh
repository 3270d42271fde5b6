#!/usr/bin/env bash
# Fuzzes all parsers of external input with clang and libFuzzer. Usage: tools/fuzz.sh RUNS SEED
set -eu
cd "$(dirname "$0")/.."
runs=${1:-20000}
seed=${2:-1}
build=build-fuzz
corpus=$build/corpus
flags="-g -O1 -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all"
cmake -S . -B $build -G Ninja -DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++ \
	-DCMAKE_C_FLAGS="$flags" -DCMAKE_EXE_LINKER_FLAGS="-fsanitize=address,undefined" \
	-DCS_FUZZ=ON >/dev/null
ninja -C $build fuzz_input >/dev/null
mkdir -p $corpus
# The first byte modulo 5 selects the parser; '2' selects that of configuration documents.
for example in examples/*.yaml; do { printf 2; cat "$example"; } >"$corpus/$(basename "$example")"; done
printf '3{"version":1,"vms":[{"id":"a","role":"entry","state":"live"}]}' >$corpus/list
printf '4node-1.ff.1.99' >$corpus/ticket
printf '5\012\001a\022\001b' >$corpus/message
# Answers of upstreams: how often they are sent, in how large pieces, and the bytes.
printf '6\000\013HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok' >$corpus/answer
printf '6\007\013HTTP/1.1 100 Continue\r\n\r\n' >$corpus/interim
printf '6\007\004X: y\r\n' >$corpus/head
printf '6\000\002HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nT: u\r\n\r\n' >$corpus/chunks
printf '6\000\013HTTP/1.1 299 X\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n\r\nto the end' >$corpus/skipped
echo "fuzz: seed $seed, $runs runs"
$build/tests/fuzz_input -seed="$seed" -runs="$runs" -max_len=16384 -timeout=10 -artifact_prefix=$build/ \
	$corpus 2>$build/fuzz.log || { tail -n 40 $build/fuzz.log; exit 1; }
tail -n 1 $build/fuzz.log
