#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/. It uses no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -o ../../target/review-standin .
