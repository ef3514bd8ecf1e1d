#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, into target/review3/.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review3/ ./review/standins3/...
