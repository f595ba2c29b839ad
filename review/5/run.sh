#!/usr/bin/env bash
# Plays the case; with TROUBLE=0 without the disruption.
case=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
exec timeout --preserve-status -k 2 116 python3 "$case/case.py"
