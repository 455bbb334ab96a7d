#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
