"""Preemption of runs by tasks that fit on no runner."""

from wasabipaddle.dispatch.model import RunPhase
from wasabipaddle.dispatch.placement import within_runner_limit
from wasabipaddle.dispatch.preemption_rules import LentRoom, LessUrgentRuns

__all__ = ["Preemption"]


class Preemption:
    """Stops runs for tasks that fit on no runner, as far as a rule allows it.

    Parameters
    ----------
    state : CellState
        Shared state.

    Attributes
    ----------
    rules : tuple of PreemptionRule
        Rules in the order in which they are tried.
    claimed : dict of str to tuple of int
        Processors, memory and GPUs of each runner that tasks wait for in this round.
    outlooks : dict of tuple to Outlook
        What callers can still get, by the key of the step.
    """

    def __init__(self, *, state):
        self.state = state
        self.rules = (LessUrgentRuns(state=state), LentRoom(state=state))
        self.claimed = {}
        self.outlooks = {}

    def begin_round(self):
        """Clear what was claimed and computed in the previous planning round."""
        self.claimed = {}
        self.outlooks = {}
        for rule in self.rules:
            rule.begin_round()

    def _outlook(self, step, now):
        """Return what the caller of a step can still get, computed once a round."""
        if step.key not in self.outlooks:
            self.outlooks[step.key] = self.state.order.outlook(step, now)
        return self.outlooks[step.key]

    def rules_for(self, task, now) -> list:
        """Return the rules by which runs may be stopped for a task."""
        return [rule for rule in self.rules if rule.allows(task, now)]

    def free_capacity(self, task, runners, now):
        """Claim capacity on a runner, and stop runs there as far as necessary."""
        for rule in self.rules_for(task, now):
            if self._free_by(rule, task, runners, now):
                self._serve_further_tasks(rule, task, runners, now)
                return
            rule.note_failure(task, now)

    def choose_victims(self, task, runners, now):
        """Return the runner on which stops cost least, and the runs to stop there.

        Returns None if stops make room on no runner.
        """
        choices = (
            self._choose(rule, task, runners, now) for rule in self.rules_for(task, now)
        )
        return next((choice for choice in choices if choice is not None), None)

    def _serve_further_tasks(self, rule, task, runners, now):
        """Free capacity for further tasks of the step as long as there is some."""
        for other in rule.further_tasks(task):
            if not rule.allows(other, now):
                return
            if not self._free_by(rule, other, runners, now):
                return

    def _choose(self, rule, task, runners, now):
        """Return the runner and the runs to stop by a rule, None without any."""
        best = None
        for runner in rule.runners(task, runners):
            if not runner.fits_when_empty(task.spec):
                continue
            victims = self._victims(rule, task, runner, now)
            if victims is None:
                continue
            cost = sum(_cost(run, now) for run in victims)
            if best is None or cost < best[0]:
                best = (cost, runner, victims)
            if not cost:
                break
        return None if best is None else best[1:]

    def _free_by(self, rule, task, runners, now) -> bool:
        """Free capacity by a rule, on the runner on which the stops cost least."""
        choice = self._choose(rule, task, runners, now)
        if choice is None:
            return False
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
                rule=rule.name,
            )
            rule.note_stop(run, task)
            self.state.stop_run(run, now)
            self.state.order.release(run)
        return True

    def _victims(self, rule, task, runner, now):
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
        candidates = rule.candidates(task, runner, now)
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
            helps = (
                (cpu > 0 and _cpu(held))
                or (memory > 0 and held.memory_mb)
                or (gpus > 0 and held.gpus)
            )
            if helps and rule.may_add(run, victims):
                victims.append(run)
                cpu -= _cpu(held)
                memory -= held.memory_mb
                gpus -= held.gpus
        return victims if cpu <= 0 and memory <= 0 and gpus <= 0 else None


def _cpu(spec):
    """Return the processors that a task reserves, in thousandths of a core."""
    return 0 if spec.opportunistic else spec.cpu


def _cost(run, now):
    """Return the processor time that a stop wastes, in core milliseconds.

    A stop counts for 0.1 s, plus the time since the start if the task saves no
    checkpoints.
    """
    spec = run.task.spec
    elapsed_s = now - run.started_s
    return spec.cpu * (0.1 + (0.0 if spec.checkpoints else elapsed_s))
