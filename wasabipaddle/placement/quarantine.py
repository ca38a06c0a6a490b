"""Quarantine of workers on which tasks fail that are likely to succeed elsewhere.

Tasks of the same services on other workers tell how likely that is.
"""

import abc
import enum
import math

import attrs

__all__ = [
    "LikelihoodRatioQuarantine",
    "NoQuarantine",
    "Quarantine",
    "QuarantinePolicy",
    "WorkerPhase",
]


class WorkerPhase(enum.Enum):
    """Whether a worker is trusted, quarantined, or due for or running a probe task.

    A worker that is not trusted is excluded: it gets no tasks other than probes.
    """

    TRUSTED = "trusted"
    QUARANTINED = "quarantined"
    PROBING = "probing"  # readmitted if a task completes on it before one fails


# Assumed probability that a task fails on a faulty worker.
FAULTY_WORKER_FAILURE_RATE = 0.95
# Log likelihood ratio at which a worker is quarantined: its outcomes are 100 times as
# likely if it is faulty.
QUARANTINE_THRESHOLD = math.log(100.0)
# Caps on the evidence from one service and from one run, so that a single service or
# input that always fails cannot get a worker quarantined.
MAX_EVIDENCE_PER_SERVICE = 3.0
MAX_EVIDENCE_PER_RUN = 1.5
# Amount by which a success lowers the score; a faulty worker completes a task with a
# probability of 0.05. The score has a minimum so that old successes do not hide a new
# fault.
SUCCESS_EVIDENCE = math.log(1 / (1 - FAULTY_WORKER_FAILURE_RATE))
MIN_SCORE = -3.0
# Time from the first quarantine of a worker to its first probe. It is doubled after
# each failed probe, up to the maximum, and kept when the worker is readmitted.
INITIAL_BACKOFF_S = 60.0
MAX_BACKOFF_S = 3600.0
# Largest fraction of the fleet that may be excluded at one time.
MAX_QUARANTINED_FRACTION = 0.1
# Pseudo-counts added to the outcomes of a service on other workers: outcomes in total,
# and failures among them.
PRIOR_WEIGHT = 1.0
PRIOR_FAILURES = 0.3
# The outcome counts of a service are halved when their sum exceeds this.
MAX_SERVICE_OUTCOMES = 200.0
# Most recent outcomes kept per worker.
MAX_RECENT_OUTCOMES = 32


class QuarantinePolicy(abc.ABC):
    """Decides which workers are excluded."""

    @abc.abstractmethod
    def record(self, worker, work, now, *, failed):
        """Record how a task ended on a worker."""

    @abc.abstractmethod
    def is_excluded(self, worker) -> bool:
        """Return whether the worker gets no tasks other than probes."""

    @abc.abstractmethod
    def is_suspect(self, worker) -> bool:
        """Return whether failures on this worker are likely due to the worker."""

    def due_probes(self, now) -> list[str]:
        """Return workers that need a probe task now."""
        return []

    def probe_started(self, worker):
        """Record that a probe task was placed on a worker."""

    def probe_unfinished(self, worker):
        """Record that a probe task ended without an outcome."""

    def take_changes(self) -> list[str]:
        """Return workers that were excluded or readmitted since the last call."""
        return []

    def forget(self, worker):
        """Remove the state of a worker that has left."""


class NoQuarantine(QuarantinePolicy):
    """Baseline policy: every worker is trusted."""

    def record(self, worker, work, now, *, failed):
        """Ignore the outcome."""

    def is_excluded(self, worker):
        """Return False."""
        return False

    def is_suspect(self, worker):
        """Return False."""
        return False


@attrs.define(kw_only=True)
class OutcomeCounts:
    """Decaying counts of completed and failed tasks."""

    completed: float = 0.0
    failed: float = 0.0

    def add(self, failed):
        """Count one outcome, and halve the counts if their sum exceeds the limit."""
        if failed:
            self.failed += 1
        else:
            self.completed += 1
        if self.completed + self.failed > MAX_SERVICE_OUTCOMES:
            self.completed /= 2
            self.failed /= 2


@attrs.define(kw_only=True)
class WorkerRecord:
    """Recent outcomes on one worker, its score and its phase."""

    recent: list = attrs.field(factory=list)
    phase: WorkerPhase = WorkerPhase.TRUSTED
    quarantined_until: float = 0.0
    backoff_s: float = INITIAL_BACKOFF_S
    score: float = 0.0
    probe_running: bool = False


class LikelihoodRatioQuarantine(QuarantinePolicy):
    """Compares outcomes on a worker with outcomes of the same services elsewhere.

    The score of a worker is the log likelihood ratio between "fails nearly
    everything" and "fails as the same services fail on other workers".

    Parameters
    ----------
    fleet : FleetIndex
        Its size bounds the number of excluded workers.
    """

    def __init__(self, *, fleet):
        self.fleet = fleet
        self.workers = {}
        self.services = {}
        self.excluded = set()
        self.changed = {}

    def record(self, worker, work, now, *, failed):
        """Record an outcome, which may quarantine the worker or end its quarantine."""
        record = self.workers.setdefault(worker, WorkerRecord())
        if record.phase is WorkerPhase.PROBING:
            self._record_probe(worker, record, now, failed)
            return
        if record.phase is WorkerPhase.QUARANTINED:
            return  # started before the quarantine, so no new evidence
        self.services.setdefault(work.service, OutcomeCounts()).add(failed)
        record.recent.append((work.service, work.run, failed))
        del record.recent[:-MAX_RECENT_OUTCOMES]
        if not failed:
            record.score = max(record.score - SUCCESS_EVIDENCE, MIN_SCORE)
            return
        record.score = self._score(record)
        if record.score >= QUARANTINE_THRESHOLD:
            self._quarantine(worker, record, now)

    def is_excluded(self, worker):
        """Return whether the worker is quarantined or being probed."""
        return worker in self.excluded

    def is_suspect(self, worker):
        """Return whether a worker is excluded or scores at least half the threshold."""
        record = self.workers.get(worker)
        if record is None:
            return False
        return worker in self.excluded or record.score >= QUARANTINE_THRESHOLD / 2

    def due_probes(self, now):
        """Return excluded workers whose back-off has passed and that run no probe.

        They enter the phase `PROBING`.
        """
        due = []
        for worker in sorted(self.excluded):
            record = self.workers[worker]
            if (
                record.phase is WorkerPhase.QUARANTINED
                and now >= record.quarantined_until
            ):
                record.phase = WorkerPhase.PROBING
            if record.phase is WorkerPhase.PROBING and not record.probe_running:
                due.append(worker)
        return due

    def probe_started(self, worker):
        """Record that a probe task was placed on a worker."""
        self.workers[worker].probe_running = True

    def probe_unfinished(self, worker):
        """Allow another probe after a probe that neither completed nor failed."""
        record = self.workers.get(worker)
        if record is not None:
            record.probe_running = False

    def take_changes(self):
        """Return workers that were excluded or readmitted since the last call."""
        changed, self.changed = list(self.changed), {}
        return changed

    def forget(self, worker):
        """Remove the state of a worker that has left."""
        self.workers.pop(worker, None)
        self.excluded.discard(worker)

    def _score(self, record):
        by_service, by_run = {}, {}
        score = 0.0
        for service, run, failed in record.recent:
            if not failed:
                score = max(score - SUCCESS_EVIDENCE, MIN_SCORE)
                continue
            rate = self._rate_elsewhere(service, record)
            gain = max(math.log(FAULTY_WORKER_FAILURE_RATE / rate), 0.0)
            gain = min(gain, MAX_EVIDENCE_PER_RUN - by_run.get(run, 0.0))
            gain = min(gain, MAX_EVIDENCE_PER_SERVICE - by_service.get(service, 0.0))
            by_run[run] = by_run.get(run, 0.0) + gain
            by_service[service] = by_service.get(service, 0.0) + gain
            score += gain
        return score

    def _rate_elsewhere(self, service, record):
        """Return the failure rate of a service on other workers, with the prior."""
        outcomes = self.services.get(service, OutcomeCounts())
        here_failed = sum(1 for s, _, f in record.recent if s == service and f)
        here_completed = sum(1 for s, _, f in record.recent if s == service and not f)
        failed = max(outcomes.failed - here_failed, 0.0) + PRIOR_FAILURES
        completed = max(outcomes.completed - here_completed, 0.0)
        completed += PRIOR_WEIGHT - PRIOR_FAILURES
        return min(max(failed / (failed + completed), 0.01), 0.99)

    def _quarantine(self, worker, record, now):
        """Quarantine a worker, unless too many workers are excluded already."""
        limit = max(1, int(MAX_QUARANTINED_FRACTION * len(self.fleet.workers)))
        if len(self.excluded) >= limit:
            return
        self._remove_failures(record)
        record.phase = WorkerPhase.QUARANTINED
        record.quarantined_until = now + record.backoff_s
        record.recent.clear()
        self.excluded.add(worker)
        self.changed[worker] = None

    def _remove_failures(self, record):
        """Remove the failures on a faulty worker from the counts of the services."""
        for service, _, failed in record.recent:
            outcomes = self.services.get(service)
            if failed and outcomes is not None:
                outcomes.failed = max(outcomes.failed - 1, 0.0)

    def _record_probe(self, worker, record, now, failed):
        record.probe_running = False
        if failed:
            record.backoff_s = min(2 * record.backoff_s, MAX_BACKOFF_S)
            record.quarantined_until = now + record.backoff_s
            record.phase = WorkerPhase.QUARANTINED
            return
        record.phase = WorkerPhase.TRUSTED
        record.score = 0.0
        record.recent.clear()
        self.excluded.discard(worker)
        self.changed[worker] = None


# Default policy of the placer.
Quarantine = LikelihoodRatioQuarantine
