# Thin front to CMake. `make help` lists the targets.
BUILD ?= build
SEED ?= 1
MINUTES ?= 1
.PHONY: help install-deps build test demo bench cost soak faultsoak faultsoak-regressions lint format clean

help:
	@echo "make install-deps  install the Debian packages the build needs"
	@echo "make build         configure and compile into $(BUILD)/"
	@echo "make test          build and run every test that KNOWN-RED.txt does not name"
	@echo "make demo          build and show the whole system on loopback"
	@echo "make bench         build and run the measurements of the decisions"
	@echo "make cost          measure what a daemon costs, with real processes on loopback"
	@echo "make soak SEED=n MINUTES=m   run randomised fault runs from seed n for m minutes"
	@echo "make faultsoak SEED=n MINUTES=m   run the real programs under faults for m minutes, with the faults of seed n"
	@echo "make faultsoak-regressions   the same for each seed that ever failed"
	@echo "make lint          check formatting and run the linter"
	@echo "make format        format all sources"
	@echo "make clean         remove $(BUILD)/"

install-deps:
	@sh src/cmake/install-deps.sh

build: install-deps
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@cmake --build $(BUILD)

test: build
	@sh src/cmake/run-tests.sh $(BUILD)

demo: build
	@sh testsuite/demo/run.sh $(BUILD)

bench: build
	@$(BUILD)/src/bench/requests/fescueledge-bench-requests
	@$(BUILD)/src/bench/placement/fescueledge-bench-placement 5

cost: build
	@sh src/bench/daemon/cost.sh $(BUILD)

soak: build
	@$(BUILD)/src/bench/soak/fescueledge-soak --seed $(SEED) --minutes $(MINUTES)

faultsoak: build
	@$(BUILD)/platform/faultsoak/fescueledge-faultsoak --seed $(SEED) --minutes $(MINUTES)

faultsoak-regressions: build
	@sh platform/faultsoak/regressions.sh $(BUILD)

lint: build
	@sh src/cmake/lint.sh $(BUILD)

format:
	@git ls-files '*.cpp' '*.h' | xargs clang-format -i

clean:
	@rm -rf $(BUILD)
