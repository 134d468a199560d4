#!/bin/sh
# Plays the case on loopback; TROUBLE=0 leaves the disruption out. Exit codes: 0 held, 1 broken, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin retention "review/3/record.txt"
