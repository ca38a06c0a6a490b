"""Preemption of less urgent runs by urgent tasks."""

from wasabipaddle.dispatch.model import RunPhase
from wasabipaddle.dispatch.placement import within_runner_limit

__all__ = ["Preemption"]

URGENT_PRIORITY = 0
# Time that an urgent task waits for free capacity before it may preempt runs.
PREEMPTION_DELAY_S = 0.1
# A run with at least this progress is not preempted, since it will end soon.
PREEMPTION_LIMIT_PERCENT = 85


class Preemption:
    """Stops less urgent runs for urgent tasks that fit on no runner.

    Parameters
    ----------
    state : CellState
        Shared state.
    """

    def __init__(self, *, state):
        self.state = state
        self.claimed = {}
        self.outlooks = {}

    def begin_round(self):
        """Clear what was claimed and computed in the previous planning round."""
        self.claimed = {}
        self.outlooks = {}

    def _outlook(self, step, now):
        """Return what the caller of a step can still get, computed once a round."""
        if step.key not in self.outlooks:
            self.outlooks[step.key] = self.state.order.outlook(step, now)
        return self.outlooks[step.key]

    def is_allowed(self, task, now) -> bool:
        """Return whether a task is urgent and has waited long enough to preempt.

        A task of a job in excess preempts nothing.
        """
        entry = task.step.job
        urgent = entry.queue.priority == URGENT_PRIORITY and not entry.in_excess
        waited_s = now - task.waiting_since_s
        if not urgent or waited_s < PREEMPTION_DELAY_S:
            return False
        return self.state.order.may_preempt(task.step, now)

    def free_capacity(self, task, runners, now):
        """Claim capacity on a runner, and stop runs there as far as necessary."""
        choice = self.choose_victims(task, runners, now)
        if choice is None:
            return
        runner, victims = choice
        spec = task.spec
        cpu, memory, gpus = self.claimed.get(runner.id, (0, 0, 0))
        self.claimed[runner.id] = (
            cpu + _cpu(spec),
            memory + spec.memory_mb,
            gpus + spec.gpus,
        )
        for run in victims:
            run.excluded_from_timing = True
            self.state.journal(
                "run_preempted",
                job=run.task.id.job,
                task=run.task.id[1:],
                run=run.number,
                runner=runner.id,
                percent=run.percent,
                reason=task.id.job,
            )
            self.state.stop_run(run, now)
            self.state.order.release(run)

    def choose_victims(self, task, runners, now):
        """Return the runner on which stops cost least, and the runs to stop there.

        Returns None if stops make room on no runner.
        """
        best = None
        level = self.state.order.level(task.step, now)
        for runner in runners:
            if not runner.fits_when_empty(task.spec):
                continue
            victims = self._victims(task, level, runner, now)
            if victims is None:
                continue
            cost = sum(_cost(run, now) for run in victims)
            if best is None or cost < best[0]:
                best = (cost, runner, victims)
            if not cost:
                break
        return None if best is None else best[1:]

    def _victims(self, task, level, runner, now):
        """Return the runs to stop so that the task fits, None if that is impossible.

        The list is empty if runs that are already stopping release enough.
        """
        if not within_runner_limit(task.step, runner):
            return None
        spec, capacity = task.spec, runner.entry.capacity
        claimed_cpu, claimed_memory, claimed_gpus = self.claimed.get(
            runner.id, (0, 0, 0)
        )
        # What is missing; the loops run for many pairs of task and runner.
        cpu = runner.cpu + claimed_cpu + _cpu(spec) - capacity.cpu
        memory = runner.memory_mb + claimed_memory + spec.memory_mb - capacity.memory_mb
        gpus = runner.gpus + claimed_gpus + spec.gpus - capacity.gpus
        for run in runner.runs.values():
            if run.phase is RunPhase.STOPPING:
                cpu -= _cpu(run.task.spec)
                memory -= run.task.spec.memory_mb
                gpus -= run.task.spec.gpus
        victims = []
        order = self.state.order
        candidates = [
            run
            for run in runner.runs.values()
            if _preemptible(run, task) and order.loses_less(run, level)
        ]
        candidates.sort(
            key=lambda run: (
                -self._outlook(run.task.step, now),
                not run.task.spec.checkpoints,
                run.percent,
            )
        )
        for run in candidates:
            if cpu <= 0 and memory <= 0 and gpus <= 0:
                break
            held = run.task.spec
            if (
                (cpu > 0 and _cpu(held))
                or (memory > 0 and held.memory_mb)
                or (gpus > 0 and held.gpus)
            ):
                victims.append(run)
                cpu -= _cpu(held)
                memory -= held.memory_mb
                gpus -= held.gpus
        return victims if cpu <= 0 and memory <= 0 and gpus <= 0 else None


def _cpu(spec):
    """Return the processors that a task reserves, in thousandths of a core."""
    return 0 if spec.opportunistic else spec.cpu


def _preemptible(run, task):
    spec = run.task.spec
    return (
        run.phase is RunPhase.RUNNING
        and run.task.step.job.queue.priority > task.step.job.queue.priority
        and not spec.lasting
        and not spec.gang
        and run.percent < PREEMPTION_LIMIT_PERCENT
    )


def _cost(run, now):
    """Return the processor time that a stop wastes, in core milliseconds.

    A stop counts for 0.1 s, plus the time since the start if the task saves no
    checkpoints.
    """
    spec = run.task.spec
    elapsed_s = now - run.started_s
    return spec.cpu * (0.1 + (0.0 if spec.checkpoints else elapsed_s))
