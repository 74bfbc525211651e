#!/usr/bin/env bash
# Plays the case; with TROUBLE=0, without the disruption. Exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
PYTHONPATH=review exec python3 "$folder/case.py" "${TROUBLE:-1}"
