#!/bin/sh
# Builds the stand-ins that the scripts of the second part of this review start. Call it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
CGO_ENABLED=1 go build -tags review -o bin/review-2/stand ./review/stand-2
