#!/usr/bin/env bash
# The stand-ins are Python programs; this checks that all of them compile.
set -euo pipefail
cd "$(dirname "$0")/.."
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX=$cache python3 -m compileall -q review tests/system/platform_stand_ins.py
