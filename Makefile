# Front door of the build; see README.md.
BUILD_TYPE ?= RelWithDebInfo

.PHONY: all build demo check check-asan check-tsan check-processes bench bench-overhead bench-capacity format lint clean

all: build

build:
	@scripts/install-deps
	@cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=$(BUILD_TYPE) > /dev/null
	@cmake --build build

demo: build
	@scripts/demo build

check: build
	@ctest --test-dir build --output-on-failure -j 4

check-asan:
	@scripts/install-deps
	@cmake -S . -B build-asan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DSANITIZE=address,undefined > /dev/null
	@cmake --build build-asan
	@ctest --test-dir build-asan --output-on-failure -j 4

check-tsan:
	@scripts/install-deps
	@cmake -S . -B build-tsan -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DSANITIZE=thread > /dev/null
	@cmake --build build-tsan
	@TSAN_OPTIONS=suppressions=$(CURDIR)/tests/tsan.supp ctest --test-dir build-tsan --output-on-failure -j 4

check-processes: build
	@scripts/check-processes build

bench: build
	@scripts/bench build

bench-overhead: build
	@scripts/bench-overhead build

bench-capacity: build
	@scripts/bench-capacity build docs/capacity.csv

format:
	@scripts/format

lint: build
	@scripts/format --check
	@scripts/lint build

clean:
	@rm -rf build build-asan build-tsan
