"""Facade over the scheduling decisions of the dispatcher."""

import math

from wasabipaddle.dispatch.acknowledgements import Acknowledgements
from wasabipaddle.dispatch.advisor import Advisor
from wasabipaddle.dispatch.delays import DelayLog
from wasabipaddle.dispatch.evacuation import Evacuation
from wasabipaddle.dispatch.fleet import runners_to_record
from wasabipaddle.dispatch.forecast import LoadForecaster
from wasabipaddle.dispatch.leases import Leases
from wasabipaddle.dispatch.lifecycle import Lifecycle
from wasabipaddle.dispatch.maintenance import Maintenance
from wasabipaddle.dispatch.model import RemovalReason
from wasabipaddle.dispatch.placement import Placement
from wasabipaddle.dispatch.preemption import Preemption
from wasabipaddle.dispatch.replies import Replies
from wasabipaddle.dispatch.reports import Reports
from wasabipaddle.dispatch.reservations import Reservations
from wasabipaddle.dispatch.runners import RunnerState
from wasabipaddle.dispatch.state import CellState
from wasabipaddle.dispatch.watchdog import Watchdog
from wasabipaddle.jobs import JobPhase

__all__ = ["Scheduler"]

# Pause of new work on a runner after a failed inventory; longer than the interval
# between two attempts to reach an unresponsive runner.
FAILED_INVENTORY_PAUSE_S = 1.5


class Scheduler:
    """Decides which tasks start and stop, and on which runners.

    Parameters
    ----------
    timing : Timing
        Time limits of the deployment.
    journal : callable
        Called for each decision with the kind of the event and its fields.
    run_number_base : int
        Every run number assigned is greater than this.
    """

    def __init__(self, *, timing, journal, run_number_base=0):
        self.state = CellState(
            timing=timing, journal=journal, run_number_base=run_number_base
        )
        self.lifecycle = Lifecycle(state=self.state)
        self.acknowledgements = Acknowledgements(state=self.state)
        self.reports = Reports(
            state=self.state,
            lifecycle=self.lifecycle,
            acknowledgements=self.acknowledgements,
        )
        self.replies = Replies(
            state=self.state, lifecycle=self.lifecycle, reports=self.reports
        )
        self.leases = Leases(state=self.state, lifecycle=self.lifecycle)
        self.preemption = Preemption(state=self.state)
        self.reservations = Reservations(state=self.state)
        self.placement = Placement(
            state=self.state,
            preemption=self.preemption,
            reservations=self.reservations,
        )
        self.advisor = Advisor(state=self.state, placement=self.placement)
        self.delays = DelayLog(state=self.state, placement=self.placement)
        self.forecaster = LoadForecaster(state=self.state)
        self.watchdog = Watchdog(state=self.state)
        self.evacuation = Evacuation(state=self.state)
        self.maintenance = Maintenance(
            state=self.state, lifecycle=self.lifecycle, placement=self.placement
        )

    def configure(self, configuration):
        """Set the current configuration and update the queues of known jobs.

        Jobs whose queue is no longer configured keep its last known version.
        """
        self.state.configuration = configuration
        self.state.quotas.configure(configuration.workspaces)
        for entry in self.state.jobs.values():
            queue = configuration.queue(entry.job.policy.name)
            if queue is not None:
                entry.queue = queue
                if not entry.phase.final:
                    self.lifecycle.note_pool(entry)

    def set_runner(self, entry, now):
        """Add or update a runner by its registry entry and return its state."""
        runner = self.state.runners.get(entry.id)
        if runner is not None and runner.entry.address != entry.address:
            self._discard_runs(runner, now)
            runner = None
        if runner is None:
            runner = RunnerState(entry=entry, changed=self.state.changed_runners)
            self.state.runners[entry.id] = runner
        runner.entry = entry
        runner.cordoned = runner.id in self.state.cordoned
        self.state.speeds.apply(runner)
        runner.leaves_at_s = now + entry.leaves_in_s
        runner.listed = True
        return runner

    def _discard_runs(self, runner, now):
        """Remove the runs of a runner that has moved to another address.

        The runner is no longer suspected to hold runs of the previous dispatcher.
        """
        for run in list(runner.runs.values()):
            self.lifecycle.remove_run(run, now, reason=RemovalReason.RUNNER_MOVED)
        self.state.suspects.pop(runner.id, None)

    def mark_unlisted(self, runner_id):
        """Record that the registry no longer lists a runner."""
        runner = self.state.runners.get(runner_id)
        if runner is not None:
            runner.listed = False

    def inventory_failed(self, runner, now):
        """Pause new work on a runner whose inventory has failed."""
        runner.paused_until_s = max(
            runner.paused_until_s, now + FAILED_INVENTORY_PAUSE_S
        )

    def runner_exited(self, runner, now):
        """Remove the runs of a runner that has exited; nothing can run there any more.

        That is certain, for example, if another runner answers at its address.
        """
        if runner.exited:
            return
        runner.exited = True
        self.state.suspects.pop(runner.id, None)
        self.state.journal("runner_left", runner=runner.id, runs=len(runner.runs))
        for run in list(runner.runs.values()):
            self.lifecycle.remove_run(run, now, reason=RemovalReason.RUNNER_EXITED)

    def remove_departed_runners(self, now):
        """Remove and return the unlisted runners on which nothing can run any more."""
        departed = [
            runner
            for runner in self.state.runners.values()
            if not runner.listed
            and not runner.runs
            and runner.id not in self.state.suspects
            and (not runner.clock_ms or runner.has_passed(runner.lease_until_ms, now))
        ]
        for runner in departed:
            del self.state.runners[runner.id]
            runner.note_change()
        return departed

    def runners_to_record(self, now, *, with_waits, term=0):
        """Return the runners for the stored fleet record; see `dispatch.fleet`."""
        return runners_to_record(self.state, now, with_waits=with_waits, term=term)

    def advance(self, now, *, proved_s=math.inf, may_start=True):
        """Do the periodic work.

        This opens due occurrences, removes runs with expired leases, stops stalled and
        slow runs and those to evacuate from draining runners, and starts copies of late
        runs.

        Parameters
        ----------
        proved_s : float
            Latest time at which the dispatcher was certainly the leader.
        may_start : bool
            Whether copies may be started.
        """
        self.lifecycle.open_due(now)
        self.leases.expire(now, proved_s=proved_s)
        self.watchdog.check(now)
        self.evacuation.check(now)
        self.state.quotas.end_waits(now)
        if may_start:
            self.placement.plan_copies(now)

    def plan(self, now, *, advice_slots=math.inf):
        """Start the tasks that fit and return the eligibility requests to send.

        Parameters
        ----------
        advice_slots : float
            Number of non-urgent requests that can be sent now; infinite by default.
        """
        self.placement.plan(now)
        self.delays.check(now)
        return self.advisor.plan(now, slots=advice_slots)

    def take_orders(self):
        """Remove and return the orders to send."""
        orders, self.state.outbox = self.state.outbox, []
        return orders

    def count_waiting(self):
        """Return the number of jobs that have not started, by name of the queue."""
        waiting = {}
        for entry in self.state.unfinished.values():
            if entry.phase is JobPhase.QUEUED and not entry.started:
                name = entry.queue.name
                waiting[name] = waiting.get(name, 0) + 1
        return waiting
