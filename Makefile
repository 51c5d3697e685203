# Shortcuts for the build, the tests and the checks.
SAN ?=
BUILD ?= build$(if $(SAN),-$(SAN),)
JOBS ?= $(shell nproc)

.PHONY: deps build test fuzz faults soak model demo format lint clean

deps:
	.ci/run deps

build: deps
	cmake -S . -B $(BUILD) -DSAN=$(SAN)
	cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

# Fuzzes the decoders and encoders, with the same inputs on each run. SECONDS=60 instead runs each
# target for 60 s, on more inputs.
SECONDS ?=
fuzz: deps
	cmake -S . -B build-fuzz -DCMAKE_CXX_COMPILER=clang++-14 -DPOPLARSPOOL_TESTS=OFF \
	    -DPOPLARSPOOL_FUZZ=ON
	cmake --build build-fuzz -j $(JOBS) --target fuzzers
	scripts/fuzz.sh build-fuzz $(SECONDS)

# Failure scenarios on real processes, which are killed, frozen and partitioned; prints one line per
# scenario.
faults: build
	$(BUILD)/poplarspool-faults $(BUILD)

# Load and faults on real processes: KIND of faults for SOAK_SECONDS, with SEED for the choices.
KIND ?= mixed
SEED ?= 1
SOAK_SECONDS ?= 60
soak: build
	$(BUILD)/poplarspool-soak $(BUILD)/poplarspool --kind $(KIND) --seed $(SEED) \
	    --seconds $(SOAK_SECONDS)

# Model checking of the protocols; prints one line per search. See docs/MODEL.md.
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
