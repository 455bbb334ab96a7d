#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin-2
