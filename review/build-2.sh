#!/bin/sh
# Builds the stand-in of the second review's cases, into the folder target/ of the repository.
set -e
cd "$(dirname "$0")"
go build -o ../target/standin-2 ./standin-2
