#!/bin/sh
# Builds the stand-in of the cases of the third review. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
CGO_ENABLED=0 go build -tags review -o review/stand3/bin/stand3 ./review/stand3
