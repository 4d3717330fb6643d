#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 (the second review). It is run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review2 ./review/_standin2
