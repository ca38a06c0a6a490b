"""Room for urgent tasks at the cost of less urgent ones."""

from wasabipaddle.dispatch.model import RunPhase

__all__ = ["Preemption"]

URGENT_PRIORITY = 0
# An urgent task waits this long for room before it takes that of others.
PATIENCE_S = 0.1
# A run that is nearly done is let end.
NEARLY_DONE_PERCENT = 85


class Preemption:
    """Stops less urgent runs for urgent tasks that find no room.

    Parameters
    ----------
    state : CellState
        Shared state.
    """

    def __init__(self, *, state):
        self.state = state
        self.claimed = {}

    def begin(self):
        """Forget what earlier tasks of the last round claimed."""
        self.claimed = {}

    def wanted(self, task, now) -> bool:
        """Return whether a task may take the room of others."""
        urgent = task.step.job.queue.priority == URGENT_PRIORITY
        return urgent and now - task.waiting_s >= PATIENCE_S

    def make_room(self, task, runners, now):
        """Claim room that is becoming free, or stop the cheapest set of runs."""
        best = None
        for runner in runners:
            if not runner.could_fit(task.spec):
                continue
            victims = self._victims(task, runner)
            if victims is None:
                continue
            cost = sum(_cost(run, now) for run in victims)
            if best is None or cost < best[0]:
                best = (cost, runner, victims)
        if best is None:
            return
        _, runner, victims = best
        spec = task.spec
        cpu, memory = self.claimed.get(runner.id, (0, 0))
        self.claimed[runner.id] = (cpu + spec.cpu, memory + spec.memory_mb)
        for run in victims:
            run.preempted = True
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

    def _victims(self, task, runner):
        """Return the runs to stop, () if enough is becoming free, None if never."""
        spec, capacity = task.spec, runner.entry.capacity
        claimed_cpu, claimed_memory = self.claimed.get(runner.id, (0, 0))
        cpu = capacity.cpu - runner.cpu - claimed_cpu
        memory = capacity.memory_mb - runner.memory_mb - claimed_memory
        for run in runner.runs.values():
            if run.phase is RunPhase.STOPPING:
                cpu += 0 if run.task.spec.opportunistic else run.task.spec.cpu
                memory += run.task.spec.memory_mb
        victims = []
        candidates = [r for r in runner.runs.values() if _preemptible(r, task)]
        candidates.sort(key=lambda run: (not run.task.spec.checkpoints, run.percent))
        for run in candidates:
            if cpu >= spec.cpu and memory >= spec.memory_mb:
                break
            victims.append(run)
            cpu += 0 if run.task.spec.opportunistic else run.task.spec.cpu
            memory += run.task.spec.memory_mb
        enough = cpu >= spec.cpu and memory >= spec.memory_mb
        return victims if enough else None


def _preemptible(run, task):
    spec = run.task.spec
    return (
        run.phase is RunPhase.RUNNING
        and run.task.step.job.queue.priority > task.step.job.queue.priority
        and not spec.lasting
        and not spec.gang
        and run.percent < NEARLY_DONE_PERCENT
    )


def _cost(run, now):
    """Return the work that a stop throws away, in processor milliseconds."""
    spec = run.task.spec
    held_s = now - run.started_s
    return spec.cpu * (0.1 + (0.0 if spec.checkpoints else held_s))
