#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/bin/cornelrelay ] && [ -x ../../target/bin/cornelrelay-agent ] || exit 2
python3 -B run.py
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
