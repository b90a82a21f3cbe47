#!/bin/sh
# Builds the stand-ins that the scripts start, under target/, beside the program of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/standin
