"""Clients of endpoints, progress deadlines and unknown outcomes."""

import asyncio
import contextlib

from result import Err

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import RequestState
from wasabipaddle.timeline import EventKind

__all__ = ["EndpointConnections"]

SETTLE_PAUSE_S = 0.1
SETTLE_MAX_ERRORS = 3
STALL_CONFIRMATIONS = 2
END_WAIT_S = 30.0
END_POLL_S = 0.25


class EndpointConnections:
    """Calls endpoints and replaces connections that make no progress.

    Parameters
    ----------
    connect : callable
        Function from a `Grant` to an `EndpointClient`.
    clock : Clock
        Source of time.
    progress_s : float
        Longest silence of a connection with a request in progress.
    metrics : Metrics
        Counters and histograms.
    events : EventRing or None
        Time line of the process.
    """

    def __init__(self, *, connect, clock, progress_s, metrics, events=None):
        self.connect = connect
        self.clock = clock
        self.progress_s = progress_s
        self.metrics = metrics
        self.events = events
        self.clients = {}
        self.probe_tasks = {}

    def client(self, grant):
        """Return the client of the endpoint of a grant."""
        client = self.clients.get(grant.endpoint)
        if client is None:
            client = self.clients[grant.endpoint] = self.connect(grant)
        return client

    async def send(self, client, request, *, deadline):
        """Send a request and watch its progress until the head of the answer.

        Every `progress_s` without an answer the endpoint is asked on another
        connection what it knows of the request. An answer that is ready there but
        does not arrive, or two checks without a sign of the request, mean that the
        connection is stalled.
        """
        task = asyncio.ensure_future(_send(client, request))
        last_alive_at = self.clock.now()
        missed_checks = 0
        wait_s = self.progress_s
        try:
            while not await self._wait_done(task, wait_s, deadline):
                if self.clock.now() >= deadline:
                    return _unknown("no answer by the deadline")
                asked_at = self.clock.now()
                state = await self._query(client, request.request)
                if state is RequestState.RUNNING:
                    last_alive_at, missed_checks, wait_s = asked_at, 0, self.progress_s
                    continue
                missed_checks += 1
                wait_s = self.progress_s / 2
                if state is RequestState.RAN:
                    missed_checks = STALL_CONFIRMATIONS
                    await self._wait_done(task, wait_s, deadline)
                if missed_checks >= STALL_CONFIRMATIONS and not task.done():
                    silence_s = self.clock.now() - last_alive_at
                    self.metrics.observe("routing.stall_detection", silence_s)
                    self.report_stall(client)
                    return _unknown("the connection made no progress")
        finally:
            if not task.done():
                task.cancel()
        answer = task.result()
        if answer.is_err() and answer.unwrap_err().kind is ErrorKind.TIMEOUT:
            self.report_stall(client)
        return answer

    def report_stall(self, client):
        """Replace the connections of a client after one of them stalled."""
        self.metrics.count("routing.stalled_connections")
        if self.events is not None:
            names = (n for n, c in self.clients.items() if c is client)
            vm = next(names, None)
            self.events.record(EventKind.CONNECTION_REPLACED, vm=vm)
        if client not in self.probe_tasks:
            probe_task = asyncio.ensure_future(self._replace_and_probe(client))
            self.probe_tasks[client] = probe_task
            probe_task.add_done_callback(lambda _: self.probe_tasks.pop(client, None))

    async def settle(self, client, request, *, deadline):
        """Ask whether a request ran whose outcome is in doubt.

        Returns
        -------
        Failure
            Of kind `answer_broken` if it ran, `unreachable` if it surely did not,
            or `outcome_unknown`.
        """
        errors = 0
        while errors < SETTLE_MAX_ERRORS and self.clock.now() < deadline:
            state = await self._query(client, request.request)
            if state is RequestState.RAN:
                detail = "the request ran, its answer was lost"
                return Failure(kind=ErrorKind.ANSWER_BROKEN, detail=detail)
            if state is RequestState.NEVER_SEEN:
                # The request may still be on its way, unless the endpoint refuses
                # an id from the time at which it was asked for it.
                if getattr(client, "query_fences", False):
                    detail = "the endpoint never got the request"
                    return Failure(kind=ErrorKind.UNREACHABLE, detail=detail)
                errors += 1
            if state is None:
                errors += 1
            await asyncio.sleep(SETTLE_PAUSE_S)
        detail = "the endpoint cannot tell whether the request ran"
        return Failure(kind=ErrorKind.OUTCOME_UNKNOWN, detail=detail)

    async def wait_for_end(self, client, request):
        """Wait until the endpoint no longer runs a request, as far as it tells.

        Parameters
        ----------
        request : str
            Request id whose caller has been answered.
        """
        end = self.clock.now() + END_WAIT_S
        while self.clock.now() < end:
            await asyncio.sleep(END_POLL_S)
            if await self._query(client, request) is not RequestState.RUNNING:
                return

    async def forget(self, endpoints):
        """Close the clients of endpoints that are gone."""
        for name in endpoints:
            client = self.clients.pop(name, None)
            if client is not None:
                await client.close()

    async def close(self):
        """Close every client."""
        for probe_task in list(self.probe_tasks.values()):
            probe_task.cancel()
        await self.forget(list(self.clients))

    async def _wait_done(self, task, wait_s, deadline):
        left = max(min(wait_s, deadline - self.clock.now()), 0)
        done, _ = await asyncio.wait({task}, timeout=left)
        return bool(done)

    async def _query(self, client, request):
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(self.progress_s / 2):
                state = await client.query(request)
                return state.ok()
        return None

    async def _replace_and_probe(self, client):
        await client.replace_connections()
        healthy = False
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(self.progress_s):
                healthy = (await client.probe()).is_ok()
        self.metrics.count(
            "routing.probes_passed" if healthy else "routing.probes_failed"
        )


async def _send(client, request):
    try:
        return await client.send(request)
    except Exception as error:  # a fault of a plug-in leaves the outcome open
        return _unknown(f"{type(error).__name__}: {error}")


def _unknown(detail):
    return Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))
