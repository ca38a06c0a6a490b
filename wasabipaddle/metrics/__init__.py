"""Counters, gauges and histograms."""

from wasabipaddle.metrics.registry import Metrics

__all__ = ["Metrics"]
