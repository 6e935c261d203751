# Common development commands. .ci/run holds the checks that a merge must pass.
CONFIG ?= front/examples/config.json

.PHONY: build test lint run check toy ci

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked
	cargo rustdoc -p cranesill-front --bin cranesill --locked -- -D warnings --document-private-items

run: build
	target/release/cranesill serve $(CONFIG)

check: build
	target/release/cranesill check $(CONFIG)

toy:
	cargo run --release --locked --example toy -- $(CONFIG)

ci:
	.ci/run

# Long measurements; their results are in docs/design.
.PHONY: measure-tls measure-planner
measure-tls: build
	cargo run --release --locked -p cranesill-front --example measure-tls

measure-planner:
	cargo test --release --locked -p cranesill-certs --test planner -- --nocapture

.PHONY: measure-purges
measure-purges:
	cargo run --release --locked -p cranesill-purges --example measure-purges

.PHONY: measure-boxes
measure-boxes: build
	cargo run --release --locked -p cranesill-front --example measure-boxes

.PHONY: measure-daily
measure-daily: build
	cargo run --release --locked -p cranesill-front --example measure-daily

# Resources of one front with 200, 800 and 3,200 cache nodes.
.PHONY: measure-scale
measure-scale: build
	cargo run --release --locked -p cranesill-front --example measure-scale

.PHONY: measure-startup
measure-startup: build
	cargo run --release --locked -p cranesill-front --example measure-startup -- 60
	cargo run --release --locked -p cranesill-front --example measure-startup -- 300
	cargo run --release --locked -p cranesill-front --example measure-startup -- 60 - peers
	cargo run --release --locked -p cranesill-front --example measure-startup -- 300 - peers

# Cold start of 300 and of 100 processes with clients, nodes and the list service, without settings and with deploy/fleet.json.
.PHONY: rig-300
rig-300: build
	cargo build --release --locked -p cranesill-front --example measure-cold
	target/release/examples/measure-cold 300 50 100
	target/release/examples/measure-cold 300 50 100 deploy/fleet.json
	target/release/examples/measure-cold 100 150 10
	target/release/examples/measure-cold 100 150 10 deploy/fleet.json

# Random faults on several processes, with more seeds than the tests use.
.PHONY: rig-seeds
rig-seeds:
	CRANESILL_SEEDS=$$(seq -s, 1 40) cargo test --locked -p cranesill-front --test fleet_faults random_faults

# Soak runs with seeds 1 to SEEDS; the tests run the first four.
SEEDS ?= 50
.PHONY: soak
soak:
	CRANESILL_SOAK_SEEDS=$$(seq -s, 1 $(SEEDS)) cargo test --release --locked -p cranesill-front --test soak

.PHONY: emulate
emulate:
	cargo run --release --locked -p cranesill-emulator -- cold-start --room 2000 --out docs/design/cold-start
