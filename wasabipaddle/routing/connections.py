"""Endpoint clients, stall detection and resolution of unknown outcomes."""

import asyncio
import contextlib

from result import Err

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import RequestState
from wasabipaddle.timeline import EventKind

__all__ = ["EndpointConnections"]

OUTCOME_POLL_S = 0.1
OUTCOME_MAX_ERRORS = 3
STALL_CONFIRMATIONS = 2
END_WAIT_S = 30.0
END_POLL_S = 0.25


class EndpointConnections:
    """Calls endpoints and replaces stalled connections.

    Parameters
    ----------
    connect : callable
        Function from a `Grant` to an `EndpointClient`.
    clock : Clock
        Source of time.
    progress_s : float
        Time in seconds without an answer after which the endpoint is queried.
    metrics : Metrics
        Counters and histograms.
    events : EventRing or None
        Timeline of the process.
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
        """Return the client of the endpoint of a grant, created on first use."""
        client = self.clients.get(grant.endpoint)
        if client is None:
            client = self.clients[grant.endpoint] = self.connect(grant)
        return client

    async def send(self, client, request, *, deadline):
        """Send a request and watch its progress until the head of the answer.

        After `progress_s` without an answer, the endpoint is queried on another
        connection, and again after `progress_s` if it runs the request, else after half
        of it. The connection is stalled if the endpoint has run the request but the
        answer does not arrive, or if `STALL_CONFIRMATIONS` queries in a row fail or do
        not find the request running.
        """
        task = asyncio.ensure_future(_send(client, request))
        last_alive_at = self.clock.now()
        missed_checks = 0
        wait_s = self.progress_s
        try:
            while not await self._wait_done(task, wait_s, deadline):
                if self.clock.now() >= deadline:
                    return _unknown("no answer before the deadline")
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
        """Replace the idle connections of a client and probe it, after a stall."""
        self.metrics.count("routing.stalled_connections")
        if self.events is not None:
            names = (n for n, c in self.clients.items() if c is client)
            vm = next(names, None)
            self.events.record(EventKind.CONNECTION_REPLACED, vm=vm)
        if client not in self.probe_tasks:
            probe_task = asyncio.ensure_future(self._replace_and_probe(client))
            self.probe_tasks[client] = probe_task
            probe_task.add_done_callback(lambda _: self.probe_tasks.pop(client, None))

    async def resolve_outcome(self, client, request, *, deadline):
        """Ask the endpoint whether a request with an unknown outcome ran.

        Returns
        -------
        Failure
            Of kind `answer_broken` if the request ran, `unreachable` if it is certain
            that it did not, else `outcome_unknown`.
        """
        errors = 0
        while errors < OUTCOME_MAX_ERRORS and self.clock.now() < deadline:
            state = await self._query(client, request.request)
            if state is RequestState.RAN:
                detail = "the request ran, but its answer was lost"
                return Failure(kind=ErrorKind.ANSWER_BROKEN, detail=detail)
            if state is RequestState.NEVER_SEEN:
                # The request may still be in transit, unless the endpoint refuses
                # every request id that it has been queried about.
                if getattr(client, "query_fences", False):
                    detail = "the endpoint never received the request"
                    return Failure(kind=ErrorKind.UNREACHABLE, detail=detail)
                errors += 1
            if state is None:
                errors += 1
            await asyncio.sleep(OUTCOME_POLL_S)
        detail = "the endpoint did not tell whether the request ran"
        return Failure(kind=ErrorKind.OUTCOME_UNKNOWN, detail=detail)

    async def wait_for_end(self, client, request):
        """Wait, up to `END_WAIT_S`, until an endpoint no longer runs a request.

        A query that fails also ends the wait.

        Parameters
        ----------
        request : str
            Id of a request whose caller no longer waits for this attempt.
        """
        end = self.clock.now() + END_WAIT_S
        while self.clock.now() < end:
            await asyncio.sleep(END_POLL_S)
            if await self._query(client, request) is not RequestState.RUNNING:
                return

    async def forget(self, endpoints):
        """Close and remove the clients of endpoints."""
        for name in endpoints:
            client = self.clients.pop(name, None)
            if client is not None:
                await client.close()

    async def close(self):
        """Cancel running probes and close every client."""
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
    except Exception as error:  # an error in a plug-in leaves the outcome unknown
        return _unknown(f"{type(error).__name__}: {error}")


def _unknown(detail):
    return Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))
