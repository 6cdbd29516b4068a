#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-cases2 ./review/cases2
