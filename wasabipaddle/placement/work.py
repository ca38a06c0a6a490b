"""Work to be placed and the decisions about it."""

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
        Names of the run, its service and the owner.
    needs : Resources
        Declared need of one task.
    tasks : int
        Number of tasks.
    quota : Resources
        Largest amounts that the service may hold; all 0 for no limit.
    expected_s : float
        Declared run time of one task; 0 for unknown or unbounded.
    max_attempts : int
        Failed attempts of one task after which it is given up.
    max_preemptions : int
        Largest number of preemptions of one task.
    revision : int
        Document revision, part of the key of impossible work.
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
    """Return the run of a task id."""
    return task.rpartition("/")[0]


class Decision:
    """Base class of what `Placer.decide` returns."""


@attrs.frozen(kw_only=True)
class Assignment:
    """One task on one worker.

    Parameters
    ----------
    needs : Resources
        Amounts reserved on the worker, which may differ from the declared ones.
    """

    task: str
    worker: str
    needs: Resources


@attrs.frozen(kw_only=True)
class Start(Decision):
    """Start tasks of a run; for a gang, all tasks that have not completed."""

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
    """Change the reservation of a running task to its measured need."""

    task: str
    worker: str
    needs: Resources


@attrs.frozen(kw_only=True)
class Checkpoint(Decision):
    """Checkpoint and end a task; it is queued again once it has ended."""

    task: str
    worker: str
    reason: str


@attrs.frozen(kw_only=True)
class Impossible(Decision):
    """Report work that no VM shape or quota could hold.

    The placer keeps the work and starts it if the fleet changes, unless the caller
    cancels the run.
    """

    run: str
    reason: str


@attrs.frozen(kw_only=True)
class GiveUp(Decision):
    """Report a task that is no longer retried."""

    run: str
    task: str
    reason: str
