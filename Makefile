# The two commands of the README are `make demo` and `make test`.
BUILD ?= build
JOBS ?= $(shell nproc)
export CCACHE_SLOPPINESS = pch_defines,time_macros,include_file_mtime,include_file_ctime
# Paths are hashed relative to the checkout, so that another clone finds what this one compiled.
export CCACHE_BASEDIR = $(CURDIR)
export CCACHE_NOHASHDIR = 1

.PHONY: setup build test demo lint lint-changed format
setup:
	@scripts/install-packages.sh

$(BUILD)/build.ninja: setup
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache

build: $(BUILD)/build.ninja
	@ninja -C $(BUILD) -j $(JOBS)

test: build
	@scripts/run-tests.sh $(BUILD)

demo: build
	@scripts/demo.sh $(BUILD)/bin

lint: build
	@scripts/lint.sh $(BUILD)

# clang-tidy on the sources that differ from BASE only; `make lint` is what CI runs.
BASE ?= main
lint-changed: build
	@scripts/lint.sh $(BUILD) $$(git diff --name-only --diff-filter=d $(BASE) -- '*.cc'; git ls-files -o --exclude-standard -- '*.cc')

format:
	@find src apps platform tests -name '*.cc' -o -name '*.h' | xargs clang-format -i
