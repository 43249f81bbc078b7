#!/bin/sh
# Builds the stand-ins of the cases into target/review/. They use the standard library alone, so no network is needed.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
