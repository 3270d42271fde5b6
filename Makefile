# A front for CMake. `make demo` and `make check` install what they lack and do everything.
.PHONY: all deps build demo experiment plots check format lint proto clean storm soak upgrade

SEED ?= 1

all: build

deps:
	@tools/install.sh

build: deps
	@cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@ninja -C build

demo: build
	@EXTRA_PACKAGES=curl tools/install.sh
	@tools/demo.sh
	@tools/demo_adapted.sh

# Policy against baseline; CSV files go to docs/measurements.
experiment: build
	@EXTRA_PACKAGES=jq tools/install.sh
	@tools/experiment.sh

plots:
	@EXTRA_PACKAGES=gnuplot-nox tools/install.sh
	@tools/plots.sh

check: deps
	@tools/check.sh

format:
	@git ls-files '*.c' '*.h' '*.cc' | grep -v 'pb-c' | xargs clang-format -i

lint: deps
	@tools/lint.sh

proto:
	cd packages/peer && protoc-c --c_out=. peer.proto && mv peer.pb-c.h include/peer/peer.pb-c.h
	sed -i 's|#include "peer.pb-c.h"|#include "peer/peer.pb-c.h"|' packages/peer/peer.pb-c.c

clean:
	rm -rf build build-*

# Random faults on adapted nodes, judged while they come: make soak SEED=n MINUTES=m SIZE=nodes
SIZE ?= 4
soak: build
	@SOAK_SEED=$(SEED) SOAK_SECONDS=$$(( $(MINUTES) * 60 )) SOAK_NODES=$(SIZE) build/tests/proc_soak

# Random faults, two at a time: make storm SEED=n MINUTES=m
MINUTES ?= 1
storm: build
	@STORM_SEED=$(SEED) STORM_SECONDS=$$(( $(MINUTES) * 60 )) build/tests/proc_storm

# Process tests with every second node of an earlier build: make upgrade FROM=commit
FROM ?= 232f2d6
upgrade: build
	@tools/upgrade.sh $(FROM)
