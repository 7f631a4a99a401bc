#!/bin/sh
# 0: the rule held; 1: it was broken; 2: the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
