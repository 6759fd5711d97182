BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all install build check format format-check lint test faults bench bench-micro bench-policy model clean demo demo-up demo-down

all: build

install:
	.ci/install

$(BUILD)/build.ninja: CMakeLists.txt | install
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo

build: install $(BUILD)/build.ninja
	ninja -C $(BUILD) -j $(JOBS)

format:
	tools/sources | xargs clang-format -i

format-check:
	tools/sources | xargs clang-format --dry-run -Werror

lint: $(BUILD)/build.ninja
	tools/lint $(BUILD) $(JOBS)

test: build
	tools/run-tests $(BUILD) $(JOBS)

faults: build
	tools/run-faults $(BUILD)

# Benchmarks a fleet of real processes; takes several minutes on an idle machine.
bench: build
	$(BUILD)/bench_fleet

bench-micro: build
	$(BUILD)/bench_micro

bench-policy: build
	$(BUILD)/bench_policy

# Checks the models in spec/ with Spin; prints one line per run.
model: install
	tools/run-model

check: install format-check build lint test

# Runs a sample workload on loopback and checks the invariants; demo-up only starts
# the fleet and leaves it running.
demo: build
	BUILD=$(BUILD) tools/demo

demo-up: build
	BUILD=$(BUILD) tools/demo-up

demo-down:
	BUILD=$(BUILD) tools/demo-down

clean:
	rm -rf $(BUILD)
