BUILD ?= build

.PHONY: all setup build test sanitize demo fuzz slopes bench-policy bench-platform bench-unseen bench-bodies bench-rollout soak format lint check clean

all: build

setup:
	scripts/setup

build: setup
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD)

test: build
	ctest --test-dir $(BUILD) --output-on-failure

# The test programs with address and undefined-behaviour checks; by hand, since
# the build takes as long as the other one again. TESTS="name|name" for some.
TESTS ?= .
sanitize: setup
	cmake -S . -B $(BUILD)-sanitize -G Ninja -DCLEMENTINE_SANITIZE=ON >/dev/null
	cmake --build $(BUILD)-sanitize
	ASAN_OPTIONS=detect_leaks=0 ctest --test-dir $(BUILD)-sanitize \
	  --output-on-failure -R '$(TESTS)'

# The product's own fleet, then its routers on the platform.
demo: build
	scripts/demo
	scripts/demo-platform

# Property tests with new seeds; not part of CI, whose seeds are fixed.
fuzz: build
	scripts/fuzz $(BUILD)

# What membership costs at 10 to 1,100 members, and what a change costs.
slopes: build
	$(BUILD)/slopes_bench

# Policies under load side by side: a table, policy.json and a plot a scenario.
bench-policy: build
	$(BUILD)/policy_bench --out $(BUILD)/bench
	@if command -v gnuplot >/dev/null; then gnuplot $(BUILD)/bench/policy.gnuplot; \
	else echo "gnuplot is not installed; no plots"; fi

# The router's decisions beside baselines on loads of model engines.
bench-platform: build
	$(BUILD)/platform_bench --loads bench/loads

# Deployments drawn by seed: our choice of models against the best fixed one.
bench-unseen: build
	$(BUILD)/unseen_bench

# Bodies of 200 bytes to 4 MB; ROUTERS="path path" puts routers side by side.
ROUTERS ?=
bench-bodies: build
	$(BUILD)/bodies_bench $(ROUTERS)

# Both errors of roll-outs, by fault, rate and share, in virtual time.
bench-rollout: build
	$(BUILD)/rollout_bench

# The soak with fifty seeds, six beside each other; SEEDS="first last" for others.
SEEDS ?= 1 50
soak: build
	seq $(SEEDS) | xargs -P 6 -I{} sh -c \
	  'CLEMENTINE_NET=$$((10 + {} % 200)) CLEMENTINE_BIN=$(abspath $(BUILD)) scripts/soak {}'

format: setup
	scripts/format --fix

# Formatter and linters; fails on any finding.
lint: build
	scripts/format
	scripts/check-platform
	scripts/lint $(BUILD)

check: lint test

clean:
	rm -rf $(BUILD)
