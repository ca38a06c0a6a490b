"""Counters, gauges and histograms of one process."""

import attrs
from hdrh.histogram import HdrHistogram

__all__ = ["Metrics", "HistogramSummary"]

# Range and precision of the histograms; durations out of range are clamped.
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000


@attrs.frozen(kw_only=True)
class HistogramSummary:
    """Count, quantiles and maximum of one histogram, in seconds."""

    count: int
    p50_s: float
    p90_s: float
    p99_s: float
    max_s: float


class Metrics:
    """Counters, gauges and latency histograms, created on first use."""

    def __init__(self):
        self.counters = {}
        self.gauges = {}
        self.histograms = {}

    def count(self, name, amount=1):
        """Add `amount` to the counter `name`."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def gauge(self, name, value):
        """Set the gauge `name` to a number, or to a callable that returns it."""
        self.gauges[name] = value

    def remove_gauge(self, name, value):
        """Remove the gauge `name`, unless it has been set to another value."""
        if self.gauges.get(name) == value:
            del self.gauges[name]

    def observe(self, name, seconds):
        """Record a duration in the histogram `name`."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.histograms[name] = histogram
        value = min(max(int(seconds * US_PER_S), LOWEST_US), HIGHEST_US)
        histogram.record_value(value)

    def summary(self, name) -> HistogramSummary | None:
        """Return the summary of the histogram `name`, or None if there is none."""
        histogram = self.histograms.get(name)
        if histogram is None:
            return None
        return HistogramSummary(
            count=histogram.get_total_count(),
            p50_s=histogram.get_value_at_percentile(50) / US_PER_S,
            p90_s=histogram.get_value_at_percentile(90) / US_PER_S,
            p99_s=histogram.get_value_at_percentile(99) / US_PER_S,
            max_s=histogram.get_max_value() / US_PER_S,
        )

    def snapshot(self):
        """Return all metrics as a JSON-compatible mapping."""
        histograms = {
            name: attrs.asdict(self.summary(name)) for name in sorted(self.histograms)
        }
        return {
            "counters": dict(sorted(self.counters.items())),
            "gauges": {
                name: value() if callable(value) else value
                for name, value in sorted(self.gauges.items())
            },
            "histograms": histograms,
        }
