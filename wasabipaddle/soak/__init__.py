"""Randomized soak of real processes under faults that are injected from outside."""

from wasabipaddle.soak.driver import SoakResult, run_soak
from wasabipaddle.soak.regressions import REGRESSIONS, Regression

__all__ = ["REGRESSIONS", "Regression", "SoakResult", "run_soak"]
