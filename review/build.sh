#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The program of the system is built by
# the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/world
