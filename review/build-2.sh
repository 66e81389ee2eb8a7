#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/6 to review/10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/flowbed ./review/flowbed
