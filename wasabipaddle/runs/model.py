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
    PLACED = "placed"  # assigned to a worker that has not reported the task yet
    RUNNING = "running"
    ENDED = "ended"  # completed; after any other outcome the task waits again


def task_id(run, index) -> str:
    """Return the id of a task."""
    return f"{run}/{index}"


def parse_task_id(task):
    """Split a task id into the run id and the index."""
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
        `COMPLETED` once the task has completed, else None.
    failures, preemptions : int
        Number of attempts that failed, and number of attempts that ended with a
        checkpoint.
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
        """Whether an attempt may be running or starting on a worker."""
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
        Epoch of the leader that accepted the run. If the run was rebuilt from the
        journal, the epoch before that of the leader that rebuilt it.
    in_doubt : bool
        Whether an earlier leader may have started tasks without a journal record.
    stopping : bool
        Whether a graceful stop has been journalled.
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
        """Whether the run has an outcome."""
        return self.outcome is not None

    @property
    def is_gang(self) -> bool:
        """Whether all tasks must run at the same time."""
        return self.document.kind is ServiceKind.GANG

    @property
    def state(self) -> RunState:
        """State of the run as shown to callers."""
        if self.ended:
            return RunState.ENDED
        states = {t.state for t in self.tasks}
        if TaskState.RUNNING in states or TaskState.ENDED in states:
            return RunState.RUNNING
        if TaskState.PLACED in states:
            return RunState.PLACING
        return RunState.QUEUED

    def view(self) -> RunView:
        """Return the run as shown to callers and operators."""
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
        """Return the phase of a task; `ended` for a waiting task of an ended run."""
        is_over = self.ended and task.state is TaskState.WAITING
        return (TaskState.ENDED if is_over else task.state).value
