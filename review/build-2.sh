#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. It runs after the build of the deploy file, without a network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p cranesill-standins --example acme-authority
