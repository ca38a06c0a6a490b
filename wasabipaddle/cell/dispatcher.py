"""Role `cell_dispatcher`: dispatches jobs while this process leads."""

import asyncio
import functools

from result import Err, Ok

from wasabipaddle.cell.advice import AdvicePlugin
from wasabipaddle.cell.configuration import ConfigurationPlugin
from wasabipaddle.cell.election import ElectionPlugin
from wasabipaddle.cell.events import (
    ConfigurationChanged,
    LeadershipGained,
    LeadershipLost,
)
from wasabipaddle.cell.members import MembersPlugin
from wasabipaddle.cell.session import DispatchSession
from wasabipaddle.cell.store import CellStorePlugin
from wasabipaddle.cell.workspace_metrics import WorkspaceMetrics
from wasabipaddle.dispatch.order import Outlook
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.kernel import Plugin
from wasabipaddle.messages.jobs import (
    JobAccepted,
    JobCancelled,
    Noted,
    QueryPhase,
)

__all__ = ["DispatcherPlugin"]

MS_PER_S = 1000
METRICS_PERIOD_S = 2.0


class DispatcherPlugin(Plugin):
    """Owns the dispatch session of a leader.

    Attributes
    ----------
    session : DispatchSession or None
        Session while this process leads, else None.
    closing : set of asyncio.Task
        Closing of earlier sessions. A session that is not closed soon still calls
        runners.
    """

    name = "cell_dispatcher"
    requires = (
        CellStorePlugin.name,
        ConfigurationPlugin.name,
        ElectionPlugin.name,
        MembersPlugin.name,
        AdvicePlugin.name,
    )

    def __init__(self, *, context):
        super().__init__(context=context)
        self.session = None
        self.closing = set()
        self.workspace_metrics = WorkspaceMetrics(metrics=context.metrics)
        self.metrics_timer = None

    async def start(self):
        """Register the handlers of messages, and subscribe to events."""
        plugins = self.context.plugins
        self.election = plugins[ElectionPlugin.name]
        self.configuration = plugins[ConfigurationPlugin.name]
        self.members = plugins[MembersPlugin.name]
        self.members.count_waiting = self._count_waiting
        self.members.forecast_load = self._forecast_load
        transport = self.members.transport
        transport.handle(JobAccepted, self._handle_job_accepted)
        transport.handle(JobCancelled, self._handle_job_cancelled)
        transport.handle(QueryPhase, self._handle_phase_query)
        bus = self.context.bus
        bus.events(LeadershipGained).subscribe(self._open_session)
        bus.events(LeadershipLost).subscribe(self._close_session)
        bus.events(ConfigurationChanged).subscribe(self._configure)
        gauge = self.context.metrics.gauge
        gauge("sessions_closing", lambda: len(self.closing))
        gauge("forecast_wait_seconds", self._measure_longest_wait)
        gauge("lasting_wait_seconds", self._measure_lasting_wait)
        for outlook in Outlook:
            name = f"steps_waiting_{outlook.name.lower()}"
            gauge(name, functools.partial(self._count_steps, outlook))
        timer = self.context.timers.every(METRICS_PERIOD_S)
        self.metrics_timer = timer.subscribe(self._update_metrics)

    async def stop(self):
        """Close the session, and wait until it and all earlier sessions are closed."""
        self.metrics_timer.dispose()
        self._close_session(None)
        await asyncio.gather(*self.closing)

    def _update_metrics(self, _):
        scheduler = self.session.scheduler if self.session else None
        self.workspace_metrics.update(scheduler.state if scheduler else None)

    def _open_session(self, event):
        if event.continued and self.session is not None:
            self.session.continue_with(event.epoch)
            return
        self._close_session(None)
        self.session = DispatchSession(
            context=self.context,
            store_plugin=self.context.plugins[CellStorePlugin.name],
            members=self.members,
            configuration=self.configuration,
            epoch=event.epoch,
            term=event.term,
            election=self.election,
        )
        self.session.start()

    def _close_session(self, event):
        if self.session is not None:
            task = asyncio.create_task(self._finish(self.session))
            self.closing.add(task)
            task.add_done_callback(self.closing.discard)
            self.session = None

    async def _finish(self, session):
        """Close a session; log how long its tasks and connections took to end."""
        began = self.context.clock.now()
        await session.close()
        self.context.journal(
            "session_closed",
            epoch=session.epoch,
            term=session.term,
            took_ms=int((self.context.clock.now() - began) * MS_PER_S),
        )

    def _configure(self, event):
        if self.session is not None:
            self.session.scheduler.configure(event.configuration)
            self.session.wake()

    def _count_waiting(self):
        return self.session.count_waiting() if self.session else None

    def _measure_longest_wait(self):
        """Return the longest wait in the forecast, 0 unless this process leads."""
        if self.session is None:
            return 0.0
        return self.session.scheduler.forecaster.longest_wait_s

    def _measure_lasting_wait(self):
        """Return the longest wait of a task that lasts, with room for it."""
        if self.session is None:
            return 0.0
        return self.session.scheduler.delays.longest_wait_s

    def _count_steps(self, outlook):
        """Return the number of waiting steps with an outlook, 0 unless leading."""
        if self.session is None:
            return 0
        return self.session.scheduler.state.order.count(outlook)

    def _forecast_load(self):
        """Return the `LoadForecast` for new jobs, None if there is none."""
        if self.session is None or not self.session.loaded:
            return None
        return self.session.scheduler.forecaster.forecast(self.session.now())

    async def _handle_job_accepted(self, message):
        if self.session is None:
            return _not_leader()
        return self.session.add_announced_job(message.job, message.epoch)

    async def _handle_job_cancelled(self, message):
        if self.session is None:
            return _not_leader()
        self.session.cancel(message.job)
        return Ok(Noted())

    async def _handle_phase_query(self, message):
        if self.session is None:
            return _not_leader()
        return self.session.find_phase(message.job)


def _not_leader():
    detail = "process is not the leader"
    return Err(Failure(kind=ErrorKind.NOT_LEADER, detail=detail))
