#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review2 ./review/stand2
