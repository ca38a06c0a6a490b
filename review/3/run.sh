#!/bin/bash
# Plays the case; exit code 1: the rule broke, 0: it held, 2: the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")"
export TROUBLE="${TROUBLE:-1}"
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../../target/deps:..
exec python3 case.py
