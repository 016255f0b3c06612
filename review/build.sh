#!/bin/sh
# Builds the stand-ins of the review into target/. Needs Go and no network.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOFLAGS="${GOFLAGS:-} -buildvcs=false" go build -o ../../target/review-standin .
