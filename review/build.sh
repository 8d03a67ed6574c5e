#!/usr/bin/env bash
# Builds the system as the deploy file says, and the stand-ins of the review. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/ ./cmd/dillchute
go build -tags review -o target/review-standin ./review/platform
