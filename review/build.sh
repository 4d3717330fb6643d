#!/bin/sh
# Builds the stand-ins of the review's cases. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/_standin
