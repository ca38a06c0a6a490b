"""State that the parts of the scheduler share."""

import attrs

from wasabipaddle.dispatch.model import RunPhase
from wasabipaddle.dispatch.orders import StopTask
from wasabipaddle.jobs import CellConfiguration

__all__ = ["CellState", "Timing"]


@attrs.frozen(kw_only=True)
class Timing:
    """Bounds of the deployment that decisions depend on, in seconds.

    Parameters
    ----------
    lease_s : float
        Length of the lease that an inventory extends.
    start_s : float
        Time after which an unanswered start is void; the first lease of the run.
    stop_s : float
        Longest time that a stop takes.
    restore_s : float
        Time to resume from a checkpoint.
    remote_slowdown : float
        Factor on the duration away from the data.
    """

    lease_s: float = 4.0
    start_s: float = 2.5
    stop_s: float = 0.5
    restore_s: float = 0.6
    remote_slowdown: float = 1.5


@attrs.define(kw_only=True, eq=False)
class CellState:
    """Jobs, runners and what has to be sent or written.

    Parameters
    ----------
    timing : Timing
        Bounds of the deployment.
    journal : callable
        Receives one event for each decision, as a kind and named values.
    first_run : int
        Run numbers of this dispatcher are above it.
    jobs, unfinished : dict of str to JobEntry
        Jobs, and those among them without a final state.
    runners : dict of str to RunnerState
        Runners.
    ready : dict
        Steps with tasks that need a run.
    dirty : dict of str to JobEntry
        Jobs whose progress must be written.
    final_dirty : bool
        Whether a job with a final state is among them.
    generation, written_generation : int
        Generation of the next write, and of the last one that is durable.
    suspects : dict of str to float
        Runners on which runs of the predecessor may exist, and the time at which
        their leases have surely ended.
    capacity_exhausted, urgent_waits : bool
        Whether any task, and whether an urgent one, found no room in the last plan.
    """

    timing: Timing
    journal: object
    first_run: int = 0
    configuration: CellConfiguration = attrs.field(
        factory=lambda: CellConfiguration(version=0)
    )
    jobs: dict = attrs.field(factory=dict)
    unfinished: dict = attrs.field(factory=dict)
    runners: dict = attrs.field(factory=dict)
    ready: dict = attrs.field(factory=dict)
    dirty: dict = attrs.field(factory=dict)
    final_dirty: bool = False
    generation: int = 1
    written_generation: int = 0
    suspects: dict = attrs.field(factory=dict)
    capacity_exhausted: bool = False
    urgent_waits: bool = False
    outbox: list = attrs.field(factory=list)
    scheduled: dict = attrs.field(factory=dict)
    wall_offset_s: float = 0.0

    def queue_task(self, task, now):
        """Let a task wait for a run."""
        task.waiting_s = now
        step = task.step
        step.pending[task.id] = task
        self.ready[step.key] = step

    def unqueue_task(self, task):
        """Remove a task from those that wait."""
        step = task.step
        step.pending.pop(task.id, None)
        if not step.pending:
            self.ready.pop(step.key, None)

    def mark_dirty(self, job):
        """Have the progress of a job written."""
        self.dirty[job.id] = job
        job.write_generation = self.generation
        self.final_dirty |= job.phase.final

    def is_durable(self, job) -> bool:
        """Return whether the store has all progress of a job."""
        return job.write_generation <= self.written_generation

    def take_dirty(self):
        """Return the jobs to write and the generation of the write."""
        jobs, self.dirty = list(self.dirty.values()), {}
        generation = self.generation
        self.generation += 1
        return jobs, generation

    def stop_run(self, run, now):
        """Send an order to stop a run, unless one is on its way."""
        if run.phase is not RunPhase.DOUBTFUL:
            run.phase = RunPhase.STOPPING
        run.stop_sent_s = now
        order = StopTask(runner=run.runner, task=run.task.id, number=run.number)
        self.outbox.append(order)
