BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all install build check format format-check lint test model clean

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

# Runs Spin on spec/; one line per run.
model: install
	tools/run-model

check: install format-check build lint test

clean:
	rm -rf $(BUILD)
