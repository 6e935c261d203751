#!/bin/sh
# Builds the stand-ins and the checks of all cases with the compiler alone; no package is needed.
set -eu
cd "$(dirname "$0")"
mkdir -p target
for case in 1 2 3; do
    rustc --edition 2021 -O -D warnings -o "target/case$case" "standins/case$case.rs"
done
