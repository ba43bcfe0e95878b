#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: plain Python without libraries.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q third
