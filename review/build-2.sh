#!/bin/sh
# Builds the program that plays the cases 6 to 10, with all stand-ins that they start. The sidecar itself is built by the `build`
# of deploy/balancer.toml.
cd "$(dirname "$0")/cases-2" && exec cargo build --release --locked --offline
