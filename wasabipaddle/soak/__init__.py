"""Randomized soak test of a cell of real processes under injected faults."""

from wasabipaddle.soak.driver import SoakResult, run_soak
from wasabipaddle.soak.regressions import REGRESSIONS, Regression

__all__ = ["REGRESSIONS", "Regression", "SoakResult", "run_soak"]
