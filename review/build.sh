#!/bin/sh
# Builds the stand-ins of all scripts into review/bin. It needs no network.
set -e
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-buildvcs=false GOWORK=off go build -o bin/standin ./standin
