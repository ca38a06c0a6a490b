"""Acknowledgements of ended runs, and calls to earlier incarnations of a runner."""

from wasabipaddle.dispatch.model import RunPhase
from wasabipaddle.dispatch.orders import LATE_CALL_S

__all__ = ["Acknowledgements"]

MS_PER_S = 1000


class Acknowledgements:
    """Decides which ended runs a call may have a runner forget.

    Each incarnation of a runner numbers its ends from 1, and a call names the runner
    only. An acknowledgement that reaches a later incarnation makes that one forget ends
    which nobody has seen, so their tasks would run again. An acknowledgement is
    therefore sent only once, only while nothing suggests another incarnation, and only
    while each start that the runner has received is known to belong to this one.

    A call without an answer may be carried out late, by a later incarnation. A runner
    refuses calls with a lower epoch than it has seen, so the calls after one without an
    answer, and those to a new incarnation, get a higher epoch than all before. No late
    call counts once one of them has been answered.

    Parameters
    ----------
    state : CellState
        Shared state.
    """

    def __init__(self, *, state):
        self.state = state

    def select(self, runner) -> int:
        """Return the number up to which the next call acknowledges ends, 0 for none."""
        if runner.acknowledged <= runner.forgotten_end:
            return 0
        doubted = runner.doubted_s is not None or self.awaits_replies(runner)
        return 0 if doubted else runner.acknowledged

    def awaits_replies(self, runner) -> bool:
        """Return whether a start order may have begun a run that no reply confirms."""
        return any(
            run.phase in (RunPhase.STARTING, RunPhase.DOUBTFUL) and not run.confirmed_ms
            for run in runner.runs.values()
        )

    def record_answer(self, runner, number, *, incarnation_before):
        """Record that a runner has carried out a call that acknowledged ends.

        Parameters
        ----------
        number : int
            Number that the call acknowledged, 0 for none.
        incarnation_before : int
            Incarnation of the runner before this answer was processed.
        """
        if runner.incarnation == incarnation_before:
            runner.forgotten_end = max(runner.forgotten_end, number)
        elif number:
            self.state.journal(
                "acknowledgement_misdirected", runner=runner.id, number=number
            )

    def record_unanswered(self, runner, number, *, sent_s):
        """Record that a call that extended the lease may yet be carried out.

        Parameters
        ----------
        number : int
            Number that the call acknowledged, 0 for none.
        sent_s : float
            Time at which the call was sent.
        """
        runner.late_epoch = runner.epoch
        late_s = sent_s + LATE_CALL_S
        runner.late_lease_until_s = max(runner.late_lease_until_s, late_s)
        if number:
            runner.late_acknowledgement_until_s = late_s

    def choose_epoch(self, runner, leader_epoch) -> int:
        """Return the epoch of the next call to a runner.

        While earlier calls may be late, that is the revision of the latest write of
        this leader, which no earlier or later leader uses.

        Parameters
        ----------
        leader_epoch : int
            Epoch of this leadership.
        """
        runner.epoch = max(runner.epoch, leader_epoch)
        if runner.late_epoch is not None:
            runner.epoch = max(runner.epoch, self.state.proved_revision)
        return runner.epoch

    def awaits_revision(self) -> bool:
        """Return whether a runner needs a higher epoch than the latest write gives."""
        revision = self.state.proved_revision
        return any(
            runner.late_epoch is not None and revision <= runner.late_epoch
            for runner in self.state.runners.values()
        )

    def record_epoch(self, runner, epoch, clock_ms):
        """Record that the present incarnation of a runner has answered a call.

        Calls of lower epochs are refused from then on. Until then, one of them may have
        granted the longest lease.

        Parameters
        ----------
        epoch : int
            Epoch of the call.
        clock_ms : int
            Clock of the runner in the answer.
        """
        if runner.late_epoch is None or epoch <= runner.late_epoch:
            return
        runner.late_epoch = None
        runner.quiet_until_s = 0.0
        longest_ms = int(self.state.timing.lease_max_s * MS_PER_S)
        runner.inventory_lease_until_ms = min(
            runner.inventory_lease_until_ms, clock_ms + longest_ms
        )
        self.state.journal("late_calls_fenced", runner=runner.id, epoch=epoch)

    def begin_incarnation(self, runner, now):
        """Allow for calls to the previous incarnation that may yet be carried out.

        The runner gets no work while one of them may make it forget ends. Another may
        grant it the longest lease, as its time is on the clock of the previous one.
        Both end with `record_epoch`.
        """
        runner.late_epoch = runner.epoch
        runner.forgotten_end = 0
        runner.quiet_until_s = runner.late_acknowledgement_until_s
        late_ms = int(max(runner.late_lease_until_s - now, 0.0) * MS_PER_S)
        runner.inventory_lease_until_ms += late_ms
        if runner.quiet_until_s > now:
            self.state.journal(
                "runner_kept_quiet",
                runner=runner.id,
                seconds=round(runner.quiet_until_s - now, 1),
            )
