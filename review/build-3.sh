#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, into target/review-3/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in foreign named; do
  go test -c -tags review -o "target/review-3/$case" "./review/standins3/$case"
done
