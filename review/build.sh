#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, without a network.
set -euo pipefail
cd "$(dirname "$0")/lab"
mkdir -p ../../target
GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -buildvcs=false -o ../../target/review-lab .
