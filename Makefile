# The four things that are done often. `make run CONFIG=path/to/config.json` starts one router.
CONFIG ?= $(BALANCER_CONFIG)

.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	BALANCER_CONFIG="$(CONFIG)" target/release/harestage-router
