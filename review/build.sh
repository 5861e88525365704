#!/usr/bin/env bash
# Builds the stand-ins of all cases. Run it after the build of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stand ./review/stand
