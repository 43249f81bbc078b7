# Build, test, lint and run. `make run` needs the environment of one sidecar, see README.md.
.PHONY: build test lint swarm sites run

build:
	cargo build --release --locked --workspace

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# Every shipped scenario under these seeds; a broken rule names its seed and step.
swarm:
	cargo run --release --locked -p cometcroft-lab -- swarm all --seeds 1..40 --jobs 4 --short 10

# Lays the bench's own files beside the sites of ours; they belong to the kit and are not committed.
KIT ?= ../given/kit
sites:
	install -m 644 $(KIT)/more/mass/other/real.json $(KIT)/more/mass/other/wire.json $(KIT)/more/mass/other/unlock.txt deploy/sites/

run: build
	exec target/release/cometcroft
