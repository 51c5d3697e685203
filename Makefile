# Thin front for the build: each target is one step that a newcomer needs.
SAN ?=
BUILD ?= build$(if $(SAN),-$(SAN),)
JOBS ?= $(shell nproc)

.PHONY: deps build test fuzz faults model demo format lint clean

deps:
	.ci/run deps

build: deps
	cmake -S . -B $(BUILD) -DSAN=$(SAN)
	cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

# Decoders and encoders on inputs that nobody thought of; the same ones on each run. With
# SECONDS=60, others for so long a target.
SECONDS ?=
fuzz: deps
	cmake -S . -B build-fuzz -DCMAKE_CXX_COMPILER=clang++-14 -DPOPLARSPOOL_TESTS=OFF \
	    -DPOPLARSPOOL_FUZZ=ON
	cmake --build build-fuzz -j $(JOBS) --target fuzzers
	scripts/fuzz.sh build-fuzz $(SECONDS)

# Real processes, killed, frozen and cut off; a line a scenario.
faults: build
	$(BUILD)/poplarspool-faults $(BUILD)

# Model checking of the protocols; a line a search. See docs/MODEL.md.
model:
	scripts/model.sh

demo: build
	scripts/demo.sh $(BUILD)

format:
	scripts/format.sh --write

lint: build
	scripts/format.sh --check
	scripts/lint.sh $(BUILD)

clean:
	rm -rf build build-address build-thread build-fuzz
