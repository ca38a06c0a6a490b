"""Processing of the replies of runners to orders."""

from wasabipaddle.dispatch.model import RemovalReason, RunPhase
from wasabipaddle.dispatch.orders import StartOutcome
from wasabipaddle.interfaces import Refusal
from wasabipaddle.jobs import JobPhase

__all__ = ["Replies"]

# Pause of new work on a runner that refused a start, for example for lack of capacity;
# refusals because of the run number or the ticket cause no pause.
REFUSED_PAUSE_S = 0.3
# Pause of new work on a runner after a start order that was not delivered, got no
# reply, or was refused because the runner is unhealthy.
FAILED_START_PAUSE_S = 1.0
# Increment of the run number after a runner refused a start because it knows a higher
# run number of the task.
RUN_NUMBER_STEP = 50


class Replies:
    """Applies the replies to start and stop orders to the shared state.

    Parameters
    ----------
    state : CellState
        Shared state.
    lifecycle : Lifecycle
        Removes runs that did not begin.
    reports : Reports
        Records clocks and incarnations of runners.
    """

    def __init__(self, *, state, lifecycle, reports):
        self.state = state
        self.lifecycle = lifecycle
        self.reports = reports

    def _is_current(self, runner, reply, now, sent_s):
        """Return whether a reply is of the present incarnation, None if unknown.

        A reply of a later incarnation than is known begins that incarnation.
        """
        if reply.refusal is Refusal.OTHER_INCARNATION:
            return False
        if not reply.incarnation:
            return True if sent_s >= runner.incarnation_s else None
        if reply.incarnation > runner.incarnation > 0:
            self.reports.begin_incarnation(
                runner, reply.incarnation, reply.clock_ms, now
            )
        return reply.incarnation == runner.incarnation

    def start_replied(self, run, outcome, reply, now, *, sent_s=None):
        """Process the outcome of a start order.

        Parameters
        ----------
        outcome : StartOutcome
            Whether the order got a reply, was not delivered, or may have been
            delivered.
        reply : OrderReply or None
            Reply of the runner, None without a reply.
        sent_s : float or None
            Time at which the order was sent, None for `now`.
        """
        runner = run.runner
        sent_s = now if sent_s is None else sent_s
        if run.key not in runner.runs:
            return
        if outcome is StartOutcome.NOT_DELIVERED:
            runner.paused_until_s = now + FAILED_START_PAUSE_S
            self._discard_failed_start(run, now)
        elif outcome is StartOutcome.UNKNOWN:
            runner.paused_until_s = now + FAILED_START_PAUSE_S
            self._doubt(run, now)
        elif reply.refusal is Refusal.NONE:
            self._process_success(run, reply, now, sent_s)
        else:
            self._process_refusal(run, reply.refusal, now)

    def _doubt(self, run, now):
        """Stop a run that may have begun, and keep its reservation until it is gone."""
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.DOUBTFUL
            self.state.stop_run(run, now)

    def _process_success(self, run, reply, now, sent_s):
        runner, entry = run.runner, run.task.step.job
        current = self._is_current(runner, reply, now, sent_s)
        if current is None:
            self._doubt(run, now)
            return
        if not current:
            reason = RemovalReason.NEW_INCARNATION
            self.lifecycle.remove_run(run, now, reason=reason)
            return
        self.reports.set_clock(runner, reply.clock_ms, now, sent_s)
        run.confirm(reply.clock_ms, now)
        stopped = run.stop_sent_s > 0 or run.phase is RunPhase.STOPPING
        run.phase = RunPhase.STOPPING if stopped else RunPhase.RUNNING
        run.progress_s = run.progress_s or now
        if not entry.started:
            entry.started = True
            if entry.phase is JobPhase.QUEUED:
                entry.phase = JobPhase.RUNNING

    def _process_refusal(self, run, refusal, now):
        task, runner = run.task, run.runner
        self.state.journal(
            "start_refused",
            job=task.id.job,
            task=task.id[1:],
            run=run.number,
            runner=runner.id,
            refusal=refusal.value,
        )
        if refusal is Refusal.OLD_RUN:
            for member in task.step.tasks if task.spec.gang else [task]:
                member.last_run += RUN_NUMBER_STEP
        elif refusal is Refusal.TICKET:
            task.step.eligibility.discard_ticket(runner.id)
        elif refusal is Refusal.UNHEALTHY:
            runner.health.record_failure(now)
            runner.paused_until_s = now + FAILED_START_PAUSE_S
        else:
            runner.paused_until_s = now + REFUSED_PAUSE_S
        self._discard_failed_start(run, now)

    def _discard_failed_start(self, run, now):
        if run.task.spec.gang:
            self.lifecycle.break_gang(run.task.step, run.number, now)
        self.lifecycle.remove_run(run, now, reason=RemovalReason.NOT_STARTED)

    def stop_replied(self, runner, task_id, number, reply, now, *, sent_s=None):
        """Process the reply to a stop order.

        Unless the runner refused the order for another reason than the run number, a
        run that had not begun can no longer begin. A reply of another incarnation says
        nothing.

        Parameters
        ----------
        sent_s : float or None
            Time at which the order was sent, None for `now`.
        """
        sent_s = now if sent_s is None else sent_s
        if not self._is_current(runner, reply, now, sent_s):
            return
        self.reports.set_clock(runner, reply.clock_ms, now, sent_s)
        run = runner.runs.get((task_id, number))
        if run is None or reply.refusal not in (Refusal.NONE, Refusal.OLD_RUN):
            return
        run.phase = RunPhase.STOPPING
        run.confirm(reply.clock_ms, now)
