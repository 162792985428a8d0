#!/bin/sh
# Builds the stand-ins of the cases 6 to 9: one program, from the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cd review/standin-2
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/standin2 .
