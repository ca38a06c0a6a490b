"""In-memory state of one run of a task."""

import enum
import math

import attrs

from wasabipaddle.dispatch.usual import COMPARED_RUNS, median

__all__ = ["COMPARED_PERCENT", "RemovalReason", "Run", "RunPhase", "show_id"]

# Least progress, in percent, from which the duration of a run is projected.
COMPARED_PERCENT = 10


class RunPhase(enum.Enum):
    """State of a run as far as the dispatcher knows.

    DOUBTFUL means that the runner has not replied to the start order: the run may exist
    already, or may still begin until the order is void.
    """

    STARTING = "starting"
    RUNNING = "running"
    DOUBTFUL = "doubtful"
    STOPPING = "stopping"


class RemovalReason(enum.Enum):
    """Why a run is taken for gone although its runner has not listed its end."""

    LEASE_EXPIRED = "lease_expired"
    MISSING = "missing"
    NEW_INCARNATION = "new_incarnation"
    NOT_STARTED = "not_started"
    RUNNER_EXITED = "runner_exited"
    RUNNER_MOVED = "runner_moved"


def show_id(value) -> str:
    """Return the text for an object in the representation of one that refers to it.

    Runs, tasks, steps and runners refer to each other. If each representation contained
    the next one, that of a single run could exceed the memory.
    """
    return repr(value.id)


@attrs.define(kw_only=True, eq=False)
class Run:
    """One run of a task, which keeps its reservation on the runner until removed.

    Parameters
    ----------
    task : Task
        Task of the run.
    number : int
        Number of the run; later runs of the task have higher numbers.
    runner : RunnerState
        Runner that holds the reservation.
    phase : RunPhase
        State of the run.
    started_s : float
        Time of the start order, or of the discovery after a takeover.
    start_before_ms : int
        Time on the runner's clock from which the start order is void.
    start_epoch : int
        Epoch of the start order.
    confirmed_ms : int
        Clock of the runner when it confirmed the run or its stop, 0 before.
    confirmed_s : float
        Time at which the dispatcher learned of that.
    listed : bool
        Whether an inventory of the present incarnation of the runner has listed the
        run. Replies to orders name no incarnation.
    missing : bool
        Whether the last inventory that could prove it did not list the run.
    percent : int
        Last reported progress, 0 to 100.
    progress_s : float
        Time at which the progress last changed.
    load : float
        Last reported load: tail latency in milliseconds of a task that serves users,
        else processors in use, in thousandths of a core.
    pace : int
        Percentage of full speed at which the task may work.
    stop_sent_s : float
        Time of the last stop order, 0 if there was no stop order.
    excluded_from_timing : bool
        Whether the run is left out of comparisons of duration, because the dispatcher
        stops it or does not know when it started.
    """

    task: object = attrs.field(repr=show_id)
    number: int
    runner: object = attrs.field(repr=show_id)
    phase: RunPhase
    started_s: float
    start_before_ms: int = 0
    start_epoch: int = 0
    confirmed_ms: int = 0
    confirmed_s: float = 0.0
    listed: bool = False
    missing: bool = False
    percent: int = 0
    progress_s: float = 0.0
    load: float = 0.0
    pace: int = 100
    stop_sent_s: float = 0.0
    excluded_from_timing: bool = False

    @property
    def key(self):
        """Identity of the run: task and run number."""
        return (self.task.id, self.number)

    @property
    def seen(self) -> bool:
        """Whether the runner has shown that the run has begun."""
        return self.progress_s > 0

    @property
    def uncertain(self) -> bool:
        """Whether the run is missing, or no sign of it followed a stop or a restart."""
        stopped = self.phase in (RunPhase.DOUBTFUL, RunPhase.STOPPING)
        return self.missing or (not self.seen and (stopped or self.confirmed_ms > 0))

    def confirm(self, clock_ms, now):
        """Record that the runner has confirmed the run or its stop."""
        if not self.confirmed_ms:
            self.confirmed_ms = max(clock_ms, 1)
            self.confirmed_s = now

    def doubt_incarnation(self, clock_ms):
        """Forget signs of the run that may be of an earlier incarnation of the runner.

        Parameters
        ----------
        clock_ms : int
            Clock of the present incarnation.
        """
        self.missing = False
        self.percent, self.progress_s = 0, 0.0
        self.confirmed_ms = min(self.confirmed_ms, max(clock_ms, 1))

    def projected_s(self) -> float:
        """Return the projected duration of the run.

        It follows from the progress if there is enough, else from the usual duration
        of the step, else from the estimate and the speed of the runner.
        """
        if self.percent >= COMPARED_PERCENT and not self.task.checkpoint:
            return 100 * (self.progress_s - self.started_s) / self.percent
        durations_s = self.task.step.durations_s
        if len(durations_s) >= COMPARED_RUNS:
            return median(durations_s) / (self.runner.health.speed or 1.0)
        return self.task.spec.estimate_s / (self.runner.health.speed or 1.0)

    def projected_left_s(self, now) -> float:
        """Return the projected time until the run ends, negative once it is overdue."""
        return self.projected_s() - (now - self.started_s)

    def time_left_s(self, now, *, stop_s) -> float:
        """Return the expected time until the run ends, infinite for one that lasts.

        A run that exceeds its expected duration is expected to take as long again.

        Parameters
        ----------
        stop_s : float
            Expected time until a run that is being stopped ends.
        """
        if self.phase is RunPhase.STOPPING:
            return stop_s
        if self.task.spec.lasting:
            return math.inf
        left_s = self.projected_left_s(now)
        return left_s if left_s > 0 else now - self.started_s

    def work_s(self) -> float:
        """Return the projected duration of the run at the usual speed."""
        return self.projected_s() * self.runner.health.speed
