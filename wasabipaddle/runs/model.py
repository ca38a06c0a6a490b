"""State of runs and their tasks on a shard leader."""

import enum

import attrs

from wasabipaddle.documents import ServiceDocument, ServiceKind
from wasabipaddle.interfaces import TaskOutcome
from wasabipaddle.messages import RunOutcome, RunState, RunView, TaskView

__all__ = ["Run", "Task", "TaskState", "parse_task_id", "task_id"]


class TaskState(enum.Enum):
    """State of one task."""

    WAITING = "waiting"
    PLACED = "placed"  # the placement is decided; the worker has not reported
    RUNNING = "running"
    ENDED = "ended"


def task_id(run, index) -> str:
    """Return the id of a task."""
    return f"{run}/{index}"


def parse_task_id(task):
    """Return run id and index of a task id."""
    run, _, index = task.rpartition("/")
    return run, int(index)


@attrs.define(kw_only=True)
class Task:
    """One task of a run.

    Parameters
    ----------
    attempt : int
        Number of the latest attempt; 0 before the first one.
    worker : str or None
        Worker of the latest attempt.
    outcome : TaskOutcome or None
        How the task ended for good.
    failures, preemptions : int
        Attempts that failed, and attempts that were preempted.
    """

    index: int
    state: TaskState = TaskState.WAITING
    attempt: int = 0
    worker: str | None = None
    outcome: TaskOutcome | None = None
    answer: str = ""
    checkpoint: str | None = None
    failures: int = 0
    preemptions: int = 0

    @property
    def on_worker(self) -> bool:
        """Whether an attempt may be present on a worker."""
        return self.state in (TaskState.PLACED, TaskState.RUNNING)


@attrs.define(kw_only=True)
class Run:
    """One run of a service document.

    Parameters
    ----------
    document : ServiceDocument
        The document as it was when the run was accepted.
    key : str
        Idempotency key of the caller.
    epoch : int
        Epoch in which the run was accepted.
    in_doubt : bool
        Whether an earlier leader may have started tasks that the journal does not
        record.
    stopping : bool
        Whether a graceful stop was asked for.
    """

    run: str
    document: ServiceDocument
    key: str
    payload: str
    accepted_ms: int
    epoch: int
    tasks: list[Task] = attrs.field(factory=list)
    in_doubt: bool = False
    stopping: bool = False
    outcome: RunOutcome | None = None
    ended_ms: int = 0
    reason: str = ""

    @property
    def ended(self) -> bool:
        """Whether the run has its outcome."""
        return self.outcome is not None

    @property
    def is_gang(self) -> bool:
        """Whether the tasks must run at the same time."""
        return self.document.kind is ServiceKind.GANG

    @property
    def state(self) -> RunState:
        """State as callers see it."""
        if self.ended:
            return RunState.ENDED
        states = {t.state for t in self.tasks}
        if TaskState.RUNNING in states or TaskState.ENDED in states:
            return RunState.RUNNING
        if TaskState.PLACED in states:
            return RunState.PLACING
        return RunState.QUEUED

    def view(self) -> RunView:
        """Return the run as callers and operators see it."""
        tasks = [
            TaskView(
                index=t.index,
                attempt=t.attempt,
                worker=t.worker,
                phase=self._phase_of(t),
            )
            for t in self.tasks
        ]
        completed = self.outcome is RunOutcome.COMPLETED
        return RunView(
            run=self.run,
            service=self.document.service,
            team=self.document.team,
            state=self.state,
            outcome=self.outcome,
            tasks=tuple(tasks),
            answers=tuple(t.answer for t in self.tasks) if completed else (),
            reason=self.reason,
            accepted_ms=self.accepted_ms,
            ended_ms=self.ended_ms,
        )

    def _phase_of(self, task):
        """Return the state of a task; one that waits in an ended run never starts."""
        is_over = self.ended and task.state is TaskState.WAITING
        return (TaskState.ENDED if is_over else task.state).value
