#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-second ./review/second/platform
