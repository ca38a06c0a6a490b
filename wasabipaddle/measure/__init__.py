"""Measurements of the decisions, each against a baseline."""

from wasabipaddle.measure.base import MEASURES, Bound, Measure, Measurement

__all__ = ["MEASURES", "Bound", "Measure", "Measurement"]
