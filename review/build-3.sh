#!/usr/bin/env bash
# Builds the stand-ins of the third review's script cases into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/lab-3 ./review/lab-3
