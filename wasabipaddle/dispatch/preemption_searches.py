"""Searches for runs to stop, made once a round for steps that ask for the same."""

from wasabipaddle.dispatch.fitting import demand

__all__ = ["PreemptionSearches"]


class PreemptionSearches:
    """Has runs stopped for tasks, unless a search of the round shows that none help.

    Bounds the cost of a flood of urgent steps: a search visits all runners and their
    runs, and steps that ask for the same find nothing either, until another search
    claims capacity or a start takes a kind of work above its floor.

    Parameters
    ----------
    state : CellState
        Shared state.
    preemption : Preemption
        Chooses the runs to stop.

    Attributes
    ----------
    fruitless : set of tuple
        What was searched for in vain since the last claim or start of this round.
    """

    def __init__(self, *, state, preemption):
        self.state = state
        self.preemption = preemption
        self.fruitless = set()

    def begin_round(self):
        """Forget the searches of the previous planning round."""
        self.fruitless.clear()
        self.preemption.begin_round()

    def note_start(self):
        """Take account of a start, after which a search may find other runs."""
        self.fruitless.clear()

    def may_help(self, task, reserved, now) -> bool:
        """Return whether runs may be stopped for a task, and some may be found.

        Parameters
        ----------
        reserved : frozenset of str
            Runners that are reserved for other steps.
        """
        rules = self.preemption.rules_for(task, now)
        if not rules:
            return False
        return self._key(task.step, reserved, rules, now) not in self.fruitless

    def search(self, task, choice, now):
        """Free capacity for a task on a runner of a choice, if that is possible."""
        rules = self.preemption.rules_for(task, now)
        key = self._key(task.step, choice.reserved, rules, now)
        before = dict(self.preemption.claimed)
        self.preemption.free_capacity(task, choice.runners(), now)
        if self.preemption.claimed != before:
            self.fruitless.clear()
            return
        if key is not None:
            self.fruitless.add(key)

    def _key(self, step, reserved, rules, now):
        """Return what a search depends on, None if it is the step itself."""
        spec, queue = step.spec, step.job.queue
        if queue.advice is not None or spec.max_per_runner:
            return None
        return (
            queue.pool,
            step.job.may_run_in(queue.pool),
            spec.required_label,
            demand(spec),
            step.job.job.workspace,
            queue.priority,
            self.state.order.level(step, now),
            reserved,
            tuple(rule.name for rule in rules),
        )
