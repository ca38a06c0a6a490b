"""Randomized soak of real processes under faults that are injected from outside."""

from wasabipaddle.soak.driver import SoakResult, run_soak

__all__ = ["SoakResult", "run_soak"]
