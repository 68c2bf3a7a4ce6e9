#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Run the build of the deploy file first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/...
