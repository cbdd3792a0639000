#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-3/standin3 .
