#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: one program that plays the store, the runners and the
# clients, and starts the processes of the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-rig ./review/rig
