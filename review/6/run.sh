#!/usr/bin/env bash
exec timeout --kill-after=5 115 python3 -B "$(dirname "$0")/case.py"
