#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go test -c -tags review -o target/review-2/case ./review/standins2
