"""Work to be placed and the decisions of the placer about it."""

import attrs

from wasabipaddle.documents import Placement, Resources, ServiceKind, Urgency

__all__ = [
    "Assignment",
    "Checkpoint",
    "Decision",
    "GiveUp",
    "Impossible",
    "Resize",
    "Start",
    "Throttle",
    "Unthrottle",
    "Work",
    "run_of",
    "task_id",
]


@attrs.frozen(kw_only=True)
class Work:
    """Tasks of one run, as the document declares them.

    Parameters
    ----------
    run, service, team : str
        Id of the run, and names of its service and of the team that owns it.
    needs : Resources
        Declared resources of one task.
    tasks : int
        Number of tasks.
    weight : int
        Weight of the service in fair sharing.
    guaranteed : float
        Guaranteed fraction of the fleet; 0 for none.
    quota : Resources
        Most resources that the service may hold; all 0 for no limit.
    expected_s : float
        Declared run time of one task in seconds; 0 if unknown or unbounded.
    max_attempts : int
        Number of different workers, not suspected of faults, on which a task must fail
        to be given up. It is also given up after three times as many failures on any
        workers.
    max_preemptions : int
        Largest number of preemptions of one task.
    revision : int
        Revision of the document, part of the key of cached impossibility results.
    """

    run: str
    service: str
    team: str
    kind: ServiceKind
    urgency: Urgency = Urgency.NORMAL
    needs: Resources = Resources()
    tasks: int = 1
    weight: int = 1
    guaranteed: float = 0.0
    quota: Resources = Resources()
    placement: Placement = Placement()
    expected_s: float = 0.0
    max_attempts: int = 3
    max_preemptions: int = 3
    revision: int = 0

    @property
    def is_gang(self) -> bool:
        """Whether all tasks must start at the same time."""
        return self.kind is ServiceKind.GANG

    @property
    def is_service(self) -> bool:
        """Whether the tasks run until they are stopped."""
        return self.kind is ServiceKind.SERVICE


def task_id(run, index) -> str:
    """Return the id of one task of a run."""
    return f"{run}/{index}"


def run_of(task) -> str:
    """Return the run id that a task id contains."""
    return task.rpartition("/")[0]


class Decision:
    """Base class of the decisions that `Placer.decide` returns."""


@attrs.frozen(kw_only=True)
class Assignment:
    """One task on one worker.

    Parameters
    ----------
    needs : Resources
        Resources reserved on the worker, which may differ from the declared ones.
    """

    task: str
    worker: str
    needs: Resources


@attrs.frozen(kw_only=True)
class Start(Decision):
    """Start tasks of a run; of a gang, all tasks that have not completed."""

    run: str
    assignments: tuple[Assignment, ...]


@attrs.frozen(kw_only=True)
class Throttle(Decision):
    """Slow a task down because its worker is under pressure."""

    task: str
    worker: str


@attrs.frozen(kw_only=True)
class Unthrottle(Decision):
    """Lift the throttle of a task."""

    task: str
    worker: str


@attrs.frozen(kw_only=True)
class Resize(Decision):
    """Change the reservation of a running task to match its measured use."""

    task: str
    worker: str
    needs: Resources


@attrs.frozen(kw_only=True)
class Checkpoint(Decision):
    """Checkpoint and end a task; it is queued again if it remains to be run."""

    task: str
    worker: str
    reason: str


@attrs.frozen(kw_only=True)
class Impossible(Decision):
    """Report work that the fleet cannot run even when empty, or that exceeds a quota.

    The placer keeps the run and queues it once a change of fleet or quotas makes it
    possible, unless the caller cancels it.
    """

    run: str
    reason: str


@attrs.frozen(kw_only=True)
class GiveUp(Decision):
    """Report a task that has failed too often; it or its whole gang is not retried."""

    run: str
    task: str
    reason: str
