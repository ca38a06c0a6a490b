"""Log of the tasks that last and do not run, and of what keeps them from it."""

import enum

from wasabipaddle.dispatch.claims import needed_together, waiting_since_s
from wasabipaddle.dispatch.fitting import fits, free_slots

__all__ = ["Delay", "DelayLog"]

MS_PER_S = 1000
# Interval at which delays are looked for, and shortest delay that is logged.
CHECK_S = 1.0
LOGGED_S = 2.0
# Largest numbers of steps and of runs that are logged at a time.
MAX_STEPS = 8
MAX_RUNS = 8


class Delay(enum.Enum):
    """Why a step has not started a task although runners have room for it.

    SUSPECTS stands for runs of the previous dispatcher that may exist. RESERVED means
    that all eligible runners with room are kept free for other work. TICKET means that
    no eligible one has a valid ticket, NOT_ASKED that the service has not been asked
    about some with room, and INELIGIBLE that it has ruled out all of them. TURN means
    that nothing keeps the step back, so that it has room since the last plan.
    """

    SUSPECTS = "suspects"
    QUOTA = "quota"
    RESERVED = "reserved"
    TICKET = "ticket"
    NOT_ASKED = "not_asked"
    INELIGIBLE = "ineligible"
    TURN = "turn"


class DelayLog:
    """Logs tasks that last and do not run, to be called after a plan.

    Two kinds of lines tell what keeps such a task: `task_waits` for a step that waits
    although runners have room for it, and `run_in_doubt` for a run that may not exist
    and that holds its task until this is certain.

    Parameters
    ----------
    state : CellState
        Shared state.
    placement : Placement
        Knows which runners may run a step.

    Attributes
    ----------
    checked_s : float
        Time of the last check.
    longest_wait_s : float
        Longest wait of a task that lasts, with room for it, at that time.
    """

    def __init__(self, *, state, placement):
        self.state = state
        self.placement = placement
        self.checked_s = 0.0
        self.longest_wait_s = 0.0

    def check(self, now):
        """Log the delays of now, unless the last check was less than a second ago."""
        if now - self.checked_s < CHECK_S:
            return
        self.checked_s = now
        self._check_waits(now)
        self._check_runs(now)

    def _check_waits(self, now):
        self.longest_wait_s = 0.0
        waiting = [
            (waiting_since_s(step), step)
            for step in self.state.ready.values()
            if step.spec.lasting and self.placement.may_fit(step, now)
        ]
        waiting.sort(key=lambda pair: pair[0])
        for since_s, step in waiting[:MAX_STEPS]:
            if now - since_s < LOGGED_S:
                break
            candidates = self.placement.candidates(step, now)
            with_room = [runner for runner in candidates if fits(step, runner)]
            room = sum(free_slots(step, runner) for runner in with_room)
            if room >= needed_together(step):
                self.longest_wait_s = max(self.longest_wait_s, now - since_s)
                self._log_wait(step, with_room, now)

    def _log_wait(self, step, with_room, now):
        """Log a step that waits.

        Parameters
        ----------
        with_room : list of RunnerState
            Runners with room for a task of the step.
        """
        eligibility = step.eligibility
        advised = step.job.queue.advice is not None
        eligible = [r for r in with_room if not advised or eligibility.is_eligible(r)]
        ruled_out = sum(eligibility.is_ineligible(r) for r in with_room)
        reserved = self.placement.reservations.reserved_for_others(step)
        free = [runner for runner in eligible if runner.id not in reserved]
        tickets = sum(eligibility.ticket(r, now) is not None for r in free)
        not_asked = len(with_room) - len(eligible) - ruled_out
        asked_s = eligibility.requested_s
        self.state.journal(
            "task_waits",
            job=step.job.id,
            step=step.position,
            tasks=len(step.pending),
            waited_ms=int((now - waiting_since_s(step)) * MS_PER_S),
            reason=self._find_reason(
                step, eligible, free, not_asked, not advised or tickets
            ).value,
            with_room=len(with_room),
            eligible=len(eligible),
            reserved=len(eligible) - len(free),
            tickets=tickets,
            not_asked=not_asked,
            request_age_ms=None if asked_s is None else int((now - asked_s) * MS_PER_S),
            suspects=len(self.state.suspects),
        )

    def _find_reason(self, step, eligible, free, not_asked, permitted) -> Delay:
        """Return what keeps a step back.

        Parameters
        ----------
        eligible, free : list of RunnerState
            Eligible runners with room, and those of them that are not reserved.
        not_asked : int
            Number of runners with room for which no answer is known.
        permitted : bool
            Whether one of the free runners may start a task now.
        """
        if self.state.suspected_runs.may_include(step.job):
            return Delay.SUSPECTS
        if not self.state.quotas.admits(step, count=needed_together(step)):
            return Delay.QUOTA
        if free:
            return Delay.TURN if permitted else Delay.TICKET
        if not_asked:
            return Delay.NOT_ASKED
        return Delay.RESERVED if eligible else Delay.INELIGIBLE

    def _check_runs(self, now):
        logged = 0
        for runner in self.state.runners.values():
            silent = now - runner.last_inventory_s >= LOGGED_S
            for run in runner.runs.values():
                if not run.task.spec.lasting or not (silent or run.uncertain):
                    continue
                if now - run.started_s >= LOGGED_S and logged < MAX_RUNS:
                    logged += 1
                    self._log_run(runner, run, now)

    def _log_run(self, runner, run, now):
        self.state.journal(
            "run_in_doubt",
            job=run.task.id.job,
            task=run.task.id[1:],
            run=run.number,
            runner=runner.id,
            phase=run.phase.value,
            age_ms=int((now - run.started_s) * MS_PER_S),
            missing=run.missing,
            confirmed=run.confirmed_ms > 0,
            inventory_age_ms=int((now - runner.last_inventory_s) * MS_PER_S),
            lease_left_ms=runner.lease_left_ms(now),
        )
