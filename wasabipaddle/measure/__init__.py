"""Measures of the system, each compared with a baseline."""

from wasabipaddle.measure.base import MEASURES, Bound, Measure, Measurement

__all__ = ["MEASURES", "Bound", "Measure", "Measurement"]
