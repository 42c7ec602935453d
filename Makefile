# The things that are done often. `make run CONFIG=path/to/config.json` starts one router.
CONFIG ?= $(BALANCER_CONFIG)
AREA ?= shape

.PHONY: build tools test lint run drill measure schemas

build:
	cargo build --release --locked

# The command `harestage`: hubs, the control service, and the tools on shapes.
tools:
	cargo build --release --locked -p harestage-cli

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	BALANCER_CONFIG="$(CONFIG)" target/release/harestage-router

# Loses a site of a fleet of processes on loopback and gets it back.
drill: tools
	target/release/harestage drill deploy/first/site-lost.json

# Measures one area with its baseline, writes target/measure/AREA.json, fails where a bound is broken. QUICK=1 is short.
measure:
	cargo build --profile measured --locked -q -p harestage-cli -p harestage-measure
	target/measured/harestage-measure $(AREA)

schemas: tools
	target/release/harestage schema shape > deploy/shape.schema.json
	target/release/harestage schema hub > deploy/hub.schema.json
	target/release/harestage schema feed > deploy/feed.schema.json
	target/release/harestage schema scenario > deploy/scenario.schema.json
