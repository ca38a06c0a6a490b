"""Estimates of resource use and run time, learned per service."""

import math

import attrs

from wasabipaddle.documents import Resources
from wasabipaddle.placement.resources import dominant_share

__all__ = ["DecayingHistogram", "RunTime", "UsageEstimator"]

# Ratio of the upper to the lower edge of a bucket.
BUCKET_RATIO = 1.08
HALF_LIFE_S = 3600.0
# Weight of a new observation at which all weights are rescaled, against overflow.
MAX_WEIGHT = 1e12
# Tasks of a service that must have been measured, or for run times have completed,
# before estimates replace the declaration.
MIN_LEARNED_TASKS = 3
# Fraction added to the learned mean, for use that grows between two reports.
LEARNED_MARGIN = 0.03
# Fraction added to the measured use of a running task, which varies less.
MEASURED_MARGIN = 0.01
HIGH_QUANTILE = 0.9
# Time for which a computed estimate is reused.
REFRESH_S = 10.0
# Median run time assumed for work that declares none.
DEFAULT_RUN_TIME_S = 600.0
# A reservation is resized if it differs from the wanted one by more than this fraction
# of the larger of the two.
RESIZE_THRESHOLD = 0.04


class DecayingHistogram:
    """Histogram with logarithmic buckets whose counts decay with time.

    Parameters
    ----------
    half_life_s : float
        Time in seconds after which an observation counts half.
    """

    def __init__(self, *, half_life_s=HALF_LIFE_S):
        self.half_life_s = half_life_s
        self.counts = {}
        self.weight = 0.0
        self.sum = 0.0
        self.origin = 0.0

    def record(self, value, now):
        """Count one observation; values under 1 count as 1."""
        value = max(value, 1.0)
        exponent = (now - self.origin) / self.half_life_s
        weight = 2.0**exponent if exponent < 100 else MAX_WEIGHT
        if weight >= MAX_WEIGHT:
            self._rescale_weights(now, exponent)
            weight = 1.0
        bucket = int(math.log(value) / math.log(BUCKET_RATIO))
        self.counts[bucket] = self.counts.get(bucket, 0.0) + weight
        self.weight += weight
        self.sum += value * weight

    def mean(self) -> float:
        """Return the weighted mean."""
        return self.sum / self.weight if self.weight else 0.0

    def quantile(self, q) -> float:
        """Return the upper edge of the bucket that holds quantile `q`."""
        remaining = q * self.weight
        for bucket in sorted(self.counts):
            remaining -= self.counts[bucket]
            if remaining <= 0:
                return BUCKET_RATIO ** (bucket + 1)
        return 0.0

    def _rescale_weights(self, now, exponent):
        factor = 2.0 ** -min(exponent, 1000.0)
        self.counts = {
            b: c * factor for b, c in self.counts.items() if c * factor > 1e-9
        }
        self.weight = sum(self.counts.values())
        self.sum *= factor
        self.origin = now


@attrs.define(kw_only=True)
class ServiceUsage:
    """Observed use and run time of one service, with cached estimates."""

    cpu: DecayingHistogram = attrs.field(factory=DecayingHistogram)
    memory: DecayingHistogram = attrs.field(factory=DecayingHistogram)
    run_time: DecayingHistogram = attrs.field(factory=DecayingHistogram)
    tasks_seen: int = 0
    completed_tasks: int = 0
    estimate: Resources | None = None
    estimated_at: float = -math.inf
    run_estimate: "RunTime | None" = None
    run_estimated_at: float = -math.inf


@attrs.frozen(kw_only=True)
class RunTime:
    """Expected run time of a task; infinite for services.

    Parameters
    ----------
    median_s, high_s : float
        Median and upper bound in seconds. The bound is a high quantile if run times
        have been learned.
    """

    median_s: float
    high_s: float


class UsageEstimator:
    """Estimates of use and run time per service.

    The reservation of a task is the sum of the learned mean, a margin, and the distance
    from the mean to a high quantile divided by the square root of the number of such
    tasks that fit on a worker, because the relative deviation of a sum of independent
    uses is smaller than that of each of them.

    Parameters
    ----------
    fleet : FleetIndex
        Its largest VM shape is the upper bound of estimates.
    """

    def __init__(self, *, fleet):
        self.fleet = fleet
        self.services = {}

    def observe(self, work, usage, now, *, first):
        """Record the measured use of one task.

        Parameters
        ----------
        usage : Usage
            Measured use, which lags behind the true use.
        first : bool
            Whether this is the first measurement of the task.
        """
        learned = self._usage_of(work.service)
        learned.cpu.record(usage.cpu_milli, now)
        learned.memory.record(usage.memory_mb, now)
        if first:
            learned.tasks_seen += 1
            if learned.tasks_seen <= MIN_LEARNED_TASKS:
                learned.estimated_at = -math.inf

    def record_run_time(self, work, duration_s, now):
        """Record the run time of a completed task."""
        learned = self._usage_of(work.service)
        learned.run_time.record(duration_s, now)
        learned.completed_tasks += 1

    def is_learned(self, work) -> bool:
        """Return whether measurements have replaced the declared resources."""
        learned = self.services.get(work.service)
        return learned is not None and learned.tasks_seen >= MIN_LEARNED_TASKS

    def needs(self, work, now) -> Resources:
        """Return the resources to reserve for one task of `work`."""
        if not self.is_learned(work):
            return work.needs
        learned = self.services[work.service]
        if learned.estimate is None or now - learned.estimated_at > REFRESH_S:
            learned.estimate = self._estimate(work, learned)
            learned.estimated_at = now
        return learned.estimate

    def run_time(self, work, now) -> RunTime:
        """Return the expected run time of one task of `work`."""
        if work.is_service:
            return RunTime(median_s=math.inf, high_s=math.inf)
        learned = self.services.get(work.service)
        if learned is None or learned.completed_tasks < MIN_LEARNED_TASKS:
            declared = work.expected_s or DEFAULT_RUN_TIME_S
            return RunTime(median_s=declared, high_s=2 * declared)
        if learned.run_estimate is None or now - learned.run_estimated_at > REFRESH_S:
            learned.run_estimate = RunTime(
                median_s=learned.run_time.quantile(0.5),
                high_s=learned.run_time.quantile(HIGH_QUANTILE),
            )
            learned.run_estimated_at = now
        return learned.run_estimate

    def resized_reservation(self, placed, previous) -> Resources | None:
        """Return a reservation that matches the measured use of a task.

        It covers the larger of the last two measurements plus a margin.

        Parameters
        ----------
        placed : RunningTask
            The task with its latest usage.
        previous : Usage or None
            Usage in the previous report.

        Returns
        -------
        Resources or None
            None if the current reservation is close enough.
        """
        earlier = previous or placed.usage
        cpu = max(placed.usage.cpu_milli, earlier.cpu_milli)
        memory = max(placed.usage.memory_mb, earlier.memory_mb)
        needs = Resources(
            cpu_milli=max(1, math.ceil(cpu * (1 + MEASURED_MARGIN))),
            memory_mb=max(1, math.ceil(memory * (1 + MEASURED_MARGIN))),
            accelerators=placed.needs.accelerators,
        )
        if _is_close(needs.cpu_milli, placed.needs.cpu_milli) and _is_close(
            needs.memory_mb, placed.needs.memory_mb
        ):
            return None
        return needs

    def _usage_of(self, service):
        learned = self.services.get(service)
        if learned is None:
            learned = self.services[service] = ServiceUsage()
        return learned

    def _estimate(self, work, learned):
        largest = self.fleet.largest_shape(work.placement.data_centres)
        mean = Resources(
            cpu_milli=math.ceil(learned.cpu.mean()),
            memory_mb=math.ceil(learned.memory.mean()),
        )
        neighbours = max(1.0, 1.0 / max(dominant_share(mean, largest), 1e-3))
        return Resources(
            cpu_milli=_with_margin(learned.cpu, neighbours, largest.cpu_milli),
            memory_mb=_with_margin(learned.memory, neighbours, largest.memory_mb),
            accelerators=work.needs.accelerators,
        )


def _is_close(wanted, reserved) -> bool:
    return abs(wanted - reserved) <= RESIZE_THRESHOLD * max(wanted, reserved)


def _with_margin(histogram, neighbours, limit) -> int:
    mean = histogram.mean()
    spread = max(histogram.quantile(HIGH_QUANTILE) - mean, 0.0)
    amount = math.ceil(mean * (1 + LEARNED_MARGIN) + spread / math.sqrt(neighbours))
    return max(1, min(amount, limit)) if limit else amount
