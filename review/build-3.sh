#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, into target/review-3/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go test -c -tags review -o target/review-3/named ./review/standins3/named
