#!/usr/bin/env bash
# Builds the stand-ins of the second review. The gateway comes from the build line of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/second ./review/second
