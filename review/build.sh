#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain Python and need
# the standard library only, so that they are compiled and nothing else.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
