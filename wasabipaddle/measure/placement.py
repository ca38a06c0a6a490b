"""Measure `placement`: rate and duration of placement decisions of one shard."""

import statistics

from wasabipaddle.measure.base import Bound, Measure
from wasabipaddle.measure.driver import Driver
from wasabipaddle.measure.inputs import InputSpec, generate
from wasabipaddle.measure.outcomes import median, percentile
from wasabipaddle.measure.sampling import rack_spread
from wasabipaddle.placement import Placer, baseline_placer

__all__ = ["Placement"]

NOON_S = 43_200.0
WORKERS = 1000
ACCELERATORS = 1400
RUNNING = 7400
# The cost per decision is compared with that of a shard that is smaller by this factor.
SMALLER_DIVISOR = 5
WARM_UP_S = 40.0
REPORT_S = 10.0
LAG_S = 2.0
SAMPLE_S = 5.0


class Placement(Measure):
    """Decisions per second, their duration and its growth with the fleet size."""

    name = "placement"
    bounds = (
        Bound(figure="decisions_per_s", comparison=">=", value=3000),
        Bound(figure="decision_p99_ms", comparison="<=", value=5),
        Bound(figure="overfilled", comparison="==", value=0),
        Bound(figure="growth", comparison="<=", value=2),
    )

    def run(self, *, seed, quick):
        """Drive the placer and the baseline placer with the same input."""
        divisor = 5 if quick else 1
        seconds = 15.0 if quick else 30.0
        large = self._inputs(seed, divisor, seconds)
        small = self._inputs(seed, divisor * SMALLER_DIVISOR, seconds)
        figures = self._figures(large, small, Placer)
        baseline = self._figures(large, small, baseline_placer)
        sizes = {
            "workers": large.spec.workers,
            "accelerators": large.spec.accelerators,
            "smaller_workers": small.spec.workers,
            "tasks": sum(len(j.tasks) for j in large.jobs),
        }
        return self.measurement(
            seed=seed, sizes=sizes, figures=figures, baseline=baseline
        )

    def _inputs(self, seed, divisor, seconds):
        return generate(
            InputSpec(
                seed=seed,
                workers=WORKERS // divisor,
                accelerators=ACCELERATORS // divisor // 8 * 8,
                duration_s=WARM_UP_S + seconds,
                start_of_day_s=NOON_S,
                load=0.8,
                peak_starts_s=300.0 / divisor,
                largest_gang=min(64, WORKERS // divisor // 4),
                cancel_burst_every_s=20.0,
                cancel_burst_jobs=200 // divisor,
            )
        )

    def _figures(self, large, small, make_placer):
        driver, seconds = self._drive(large, make_placer)
        _, smaller_seconds = self._drive(small, make_placer)
        out = driver.outcomes
        return {
            "decisions_per_s": round(1 / seconds),
            "decision_p99_ms": round(1000 * percentile(out.decide_s, 0.99), 3),
            "decision_median_ms": round(1000 * median(out.decide_s), 3),
            "decision_max_ms": round(1000 * max(out.decide_s), 3),
            "overfilled": out.overfilled,
            "growth": round(seconds / smaller_seconds, 3),
            "running": round(statistics.mean(s.running for s in out.samples)),
            "decisions": out.decisions,
            "starts": out.starts,
            "starts_per_s": round(out.starts / out.call_s),
            "partial_gangs": out.partial_gangs,
            "two_places": out.two_places,
            "gang_starts": len(out.gang_waits),
            "gang_wait_p99_s": round(percentile(out.gang_waits, 0.99), 3),
            "rack_spread": round(rack_spread(driver), 3),
        }

    def _drive(self, inputs, make_placer):
        """Return the driver and the elapsed seconds per decision.

        The time of every call to the placer counts: submissions, cancellations, ends
        and reports as well as decisions.
        """
        driver = Driver(
            inputs=inputs,
            make_placer=make_placer,
            limit=1,
            tick_s=0.02,
            report_s=REPORT_S,
            lag_s=LAG_S,
            sample_s=SAMPLE_S,
        )
        driver.run(WARM_UP_S)
        driver.reset_counts()
        driver.run(inputs.spec.duration_s)
        return driver, driver.outcomes.call_s / max(driver.outcomes.decisions, 1)
