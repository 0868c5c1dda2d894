BUILD ?= build
SANITIZED ?= build-sanitized
JOBS ?= $(shell nproc)

# The first command of the README runs `demo`, the second `test`.
.PHONY: regression soak demo programs plots deps configure build test sanitize lint format generate clean fault-matrix

deps:
	tools/install_deps.sh

configure:
	cmake -S . -B $(BUILD) -G Ninja >/dev/null

build: configure
	cmake --build $(BUILD) -j $(JOBS)

sanitize:
	cmake -S . -B $(SANITIZED) -G Ninja -DEBONYKEEL_SANITIZE=ON >/dev/null
	cmake --build $(SANITIZED) -j $(JOBS)
	ctest --test-dir $(SANITIZED) -j $(JOBS) --output-on-failure

lint: configure
	tools/lint.sh $(BUILD) $(JOBS)

format:
	git ls-files -z '*.h' '*.cc' ':!*.capnp.h' | xargs -0 clang-format -i

# Renders docs/FAULTS.md; fails if the fault matrix names a test that does not
# exist.
fault-matrix: configure
	cmake --build $(BUILD) -j $(JOBS) --target fault_matrix >/dev/null
	$(BUILD)/bin/fault_matrix render .

test: deps build lint sanitize
	@sed -n '/^#/!s/^/known red, passed over: /p' KNOWN-RED.txt
	ctest --test-dir $(BUILD) -j 4 --output-on-failure

programs: configure
	cmake --build $(BUILD) -j $(JOBS) --target ebonykeeld ebonykeel standin_platform standin_upstream standin_relay

demo: deps programs
	tools/demo.sh $(BUILD)

clean:
	rm -rf $(BUILD) $(SANITIZED)

# Generates the Cap'n Proto sources, which are committed. Requires the Debian
# package capnproto.
generate:
	capnp compile -oc++ -I/usr/include packages/runtime/peer/peer.capnp
	cd packages && capnp compile -oc++:. -I/usr/include runtime/fleet/fleet.capnp
	cd packages && capnp compile -oc++:. -I/usr/include runtime/fleet/quota.capnp
	cd packages && capnp compile -oc++:. -I/usr/include runtime/fleet/rollout.capnp

# Draws the plots of all result folders under RESULTS.
RESULTS ?= results
plots:
	find $(RESULTS) -name '*.gp' -execdir gnuplot {} \;

# Runs real processes of the forward mode under random faults.
SEED ?= 1
SOAK_SECONDS ?= 60
soak: configure
	cmake --build $(BUILD) -j $(JOBS) --target soak ebonykeeld
	$(BUILD)/bin/soak --program=$(BUILD)/bin/ebonykeeld --seed=$(SEED) --seconds=$(SOAK_SECONDS)

# Plays the users' deployments and compares with tools/regression_figures.txt.
# Needs their kit: make regression KIT=FOLDER BENCH=PROGRAM
regression:
	KIT="$(KIT)" BENCH="$(BENCH)" tools/regression.sh
