"""All decisions of the dispatcher behind one object."""

from wasabipaddle.dispatch.advisor import Advisor
from wasabipaddle.dispatch.evacuation import Evacuation
from wasabipaddle.dispatch.lifecycle import Lifecycle
from wasabipaddle.dispatch.placement import Placement
from wasabipaddle.dispatch.preemption import Preemption
from wasabipaddle.dispatch.reports import Reports
from wasabipaddle.dispatch.runners import RunnerState
from wasabipaddle.dispatch.state import CellState
from wasabipaddle.dispatch.watchdog import Watchdog
from wasabipaddle.jobs import JobPhase

__all__ = ["Scheduler"]

MS_PER_S = 1000
# Longer than the pause between two inventories of a runner that does not answer.
SILENT_PAUSE_S = 1.5


class Scheduler:
    """Decides on jobs, runners and runs.

    Parameters
    ----------
    timing : Timing
        Bounds of the deployment.
    journal : callable
        Receives one event for each decision, as a kind and named values.
    first_run : int
        Run numbers are above it.
    """

    def __init__(self, *, timing, journal, first_run=0):
        self.state = CellState(timing=timing, journal=journal, first_run=first_run)
        self.lifecycle = Lifecycle(state=self.state)
        self.reports = Reports(state=self.state, lifecycle=self.lifecycle)
        self.preemption = Preemption(state=self.state)
        self.placement = Placement(state=self.state, preemption=self.preemption)
        self.advisor = Advisor(state=self.state, placement=self.placement)
        self.watchdog = Watchdog(state=self.state)
        self.evacuation = Evacuation(state=self.state)

    def configure(self, configuration):
        """Put a configuration in force."""
        self.state.configuration = configuration
        for entry in self.state.jobs.values():
            queue = configuration.queue(entry.job.policy.name)
            if queue is not None:
                entry.queue = queue

    def set_runner(self, entry, now):
        """Take an entry of the registry and return the runner."""
        runner = self.state.runners.get(entry.id)
        if runner is not None and runner.entry.address != entry.address:
            self._replace(runner, now)
            runner = None
        if runner is None:
            runner = RunnerState(entry=entry)
            self.state.runners[entry.id] = runner
        runner.entry = entry
        runner.leaves_s = now + entry.leaves_in_s
        runner.listed = True
        return runner

    def _replace(self, runner, now):
        """Void the earlier life of a runner that moved to another address."""
        for run in list(runner.runs.values()):
            self.lifecycle.remove_run(run, now)
        self.state.suspects.pop(runner.id, None)

    def drop_runner(self, runner_id):
        """Note that the registry does not list a runner any more."""
        runner = self.state.runners.get(runner_id)
        if runner is not None:
            runner.listed = False

    def runner_silent(self, runner, now):
        """Send no new work to a runner whose inventory has failed."""
        runner.full_until_s = max(runner.full_until_s, now + SILENT_PAUSE_S)

    def runner_refused(self, runner, now):
        """Take a refused connection; a runner that said it was leaving has left."""
        if runner.listed or not runner.entry.draining or not runner.runs:
            return
        self.state.journal("runner_left", runner=runner.id, runs=len(runner.runs))
        for run in list(runner.runs.values()):
            self.lifecycle.remove_run(run, now)

    def forget_gone(self, now):
        """Return the runners without an entry on which nothing can run any more."""
        gone = [
            runner
            for runner in self.state.runners.values()
            if not runner.listed
            and not runner.runs
            and runner.id not in self.state.suspects
            and (not runner.clock_ms or runner.passed(runner.lease_until_ms, now))
        ]
        for runner in gone:
            del self.state.runners[runner.id]
        return gone

    def advance(self, now):
        """Let time pass: due occurrences, expired leases, stalled runs."""
        self.lifecycle.open_due(now)
        self.reports.expire(now)
        self.watchdog.check(now)
        self.evacuation.check(now)
        self.placement.plan_copies(now)

    def plan(self, now):
        """Start what can start; return the requests for eligibility."""
        self.placement.plan(now)
        return self.advisor.plan(now)

    def take_orders(self):
        """Return the orders to send."""
        orders, self.state.outbox = self.state.outbox, []
        return orders

    def start_deadline_ms(self, runner, now) -> int:
        """Return the time on the runner's clock at which a start is void."""
        start_ms = int(self.state.timing.start_s * MS_PER_S)
        until_ms = runner.estimate_clock_ms(now) + start_ms
        runner.start_lease_until_ms = max(runner.start_lease_until_ms, until_ms)
        return until_ms

    def lease_deadline_ms(self, runner, now) -> int:
        """Return the new end of the lease of a runner on its clock."""
        if not runner.clock_ms:
            return 0
        lease_ms = int(self.state.timing.lease_s * MS_PER_S)
        until_ms = runner.estimate_clock_ms(now) + lease_ms
        runner.hold_until_ms = max(runner.hold_until_ms, until_ms)
        return until_ms

    def hold_not_delivered(self, runner, before_ms):
        """Take back a lease that did not reach the runner.

        Starts that were sent in the meantime may have reached it.
        """
        runner.hold_until_ms = before_ms

    def count_waiting(self):
        """Return the jobs that have not started, by queue."""
        waiting = {}
        for entry in self.state.unfinished.values():
            if entry.phase is JobPhase.QUEUED and not entry.started:
                name = entry.queue.name
                waiting[name] = waiting.get(name, 0) + 1
        return waiting
