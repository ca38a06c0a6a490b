#!/bin/bash
# Plays the case; exit code 1: the rule broke, 0: it held, 2: the case could not run.
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../../target/deps:..
exec python3 case.py
