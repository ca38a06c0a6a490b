"""In-memory stand-in of an endpoint."""

import asyncio
import random as random_module

import attrs
from result import Ok

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import EndpointClient, RequestState
from wasabipaddle.standins.answers import AnswerDamage, damage_answer, make_answer
from wasabipaddle.standins.endpoint_client import (
    DEFAULT_PROGRESS_S,
    MemoryEndpointClient,
)
from wasabipaddle.standins.exchange import call_later, fail
from wasabipaddle.standins.faults import change_faults
from wasabipaddle.standins.ledger import CutOffCause, Execution, WorkKind
from wasabipaddle.standins.payloads import RequestPayload, parse_payload

__all__ = ["EndpointFaults", "MemoryEndpoint"]


@attrs.define(kw_only=True)
class EndpointFaults:
    """Faults of an endpoint, which `MemoryEndpoint.set_faults` changes.

    Parameters
    ----------
    failing : bool
        Every request runs and then fails.
    late_s : float
        Time added to the service time, without progress on the connection.
    broken : AnswerDamage
        How answers are damaged.
    lost_answer : float
        Probability that a request runs but its answer is lost.
    silent : bool
        Drop every call, on open and on new connections.
    unreachable : bool
        Refuse new connections and break open ones.
    draining : bool
        Refuse new requests with `draining` and finish those in progress.
    gone : bool
        Cut off every request and refuse connections.
    """

    failing: bool = False
    late_s: float = 0.0
    broken: AnswerDamage = AnswerDamage.NO
    lost_answer: float = 0.0
    silent: bool = False
    unreachable: bool = False
    draining: bool = False
    gone: bool = False


@attrs.define(kw_only=True, eq=False)
class RunningRequest:
    """A request in progress.

    Parameters
    ----------
    request : EndpointRequest
        The request as received.
    ended : asyncio.Future
        Resolves to a result with the `Answer`, or to the failure.
    pings_until_s : float
        Loop time until which the connection shows progress.
    lost : bool
        Whether the answer is lost.
    """

    request: object
    payload: RequestPayload
    execution: Execution
    ended: asyncio.Future
    pings_until_s: float
    timer: asyncio.TimerHandle | None = None
    lost: bool = False


class MemoryEndpoint(EndpointClient):
    """Endpoint in memory on the running asyncio loop.

    Parameters
    ----------
    name : str
        Name of the VM.
    slots, connections : int
        Maximum number of concurrent requests and of open connections.
    ledger : Ledger
        Record of executions.
    latency_s : float
        Round-trip time without the service time.
    random : random.Random or None
        Random number generator for lost answers; None uses seed 0.

    Attributes
    ----------
    epochs : dict of str to int
        Highest epoch received from each shard.
    open : set of Connection
        Open connections of all clients.
    states : dict of str to RequestState
        State of each request id accepted since the VM was last lost.
    last_accepted_s : float
        Loop time of the last accepted request, for checks of draining.
    """

    def __init__(
        self,
        *,
        name,
        ledger,
        slots=8,
        connections=64,
        latency_s=0.001,
        random=None,
    ):
        self.name = name
        self.ledger = ledger
        self.slots = slots
        self.connections = connections
        self.latency_s = latency_s
        self.random = random or random_module.Random(0)
        self.faults = EndpointFaults()
        self.epochs = {}
        self.states = {}
        self.running = {}
        self.open = set()
        self.refused = 0
        self.last_accepted_s = 0.0
        ledger.record.slots[name] = slots
        self.view = MemoryEndpointClient(endpoint=self)

    def client(self, *, progress_s=DEFAULT_PROGRESS_S) -> MemoryEndpointClient:
        """Return a client with its own connections and `partitioned` flag."""
        return MemoryEndpointClient(endpoint=self, progress_s=progress_s)

    async def send(self, request):
        """Send a request."""
        return await self.view.send(request)

    async def query(self, request):
        """Query the state of a request id."""
        return await self.view.query(request)

    async def probe(self):
        """Check that the endpoint accepts new connections."""
        return await self.view.probe()

    def set_faults(self, **changes):
        """Set faults by name."""
        change_faults(self.faults, changes)
        if self.faults.gone:
            self._cut_all()
        if self.refuses_connections():
            self.open.clear()

    def silence_connections(self):
        """Make every open connection silent; new ones work."""
        for connection in self.open:
            connection.silent = True

    def refuses_connections(self) -> bool:
        """Return whether new connections are refused."""
        return self.faults.unreachable or self.faults.gone

    def accept(self, request):
        """Accept a request and run it in a free slot.

        Returns
        -------
        result.Result
            The running request, or an `Err` of kind `draining`, `stale_epoch` or
            `no_capacity`, in which case the request is not run.
        """
        refusal = self._refusal(request)
        if refusal is not None:
            self.refused += 1
            return refusal
        self.epochs[request.shard] = request.epoch
        loop = asyncio.get_running_loop()
        payload = parse_payload(request.body, RequestPayload)
        execution = Execution(
            kind=WorkKind.REQUEST,
            work=payload.work or request.request,
            identifier=request.request,
            place=self.name,
            started_s=loop.time(),
            repeatable=payload.idempotent,
        )
        self.ledger.start(execution)
        self.states[request.request] = RequestState.RUNNING
        self.last_accepted_s = loop.time()
        running = RunningRequest(
            request=request,
            payload=payload,
            execution=execution,
            ended=loop.create_future(),
            pings_until_s=loop.time() + payload.service_s,
        )
        service_s = payload.service_s + self.faults.late_s
        running.timer = call_later(service_s, self._finish, running)
        self.running[id(running)] = running
        return Ok(running)

    def disconnect(self, running):
        """Record that a client disconnected before the end of its request.

        The request continues to run.
        """
        if not running.ended.done():
            self._record_cut_off(running, CutOffCause.CLIENT_CLOSED)

    def leave(self):
        """Stop the VM as planned, which cuts off the requests in progress."""
        self.set_faults(draining=True, gone=True)

    def state_of(self, request) -> RequestState:
        """Return the state of a request id."""
        return self.states.get(request, RequestState.NEVER_SEEN)

    def _refusal(self, request):
        if self.faults.draining:
            return fail(ErrorKind.DRAINING, f"{self.name} is leaving")
        epoch = self.epochs.get(request.shard, 0)
        if request.epoch < epoch:
            detail = f"epoch {request.epoch} of {request.shard} is below {epoch}"
            return fail(ErrorKind.STALE_EPOCH, detail)
        if len(self.running) >= self.slots:
            return fail(ErrorKind.NO_CAPACITY, f"{self.name} has no free slot")
        return None

    def _finish(self, running):
        """End a request after its service time and create its answer."""
        failed = self.faults.failing or running.payload.fail
        self._end(running, "failed" if failed else "completed")
        if running.ended.done():
            return
        if self.random.random() < self.faults.lost_answer:
            running.lost = True
        if failed:
            detail = f"{self.name} failed the request"
            running.ended.set_result(fail(ErrorKind.ENDPOINT_FAILED, detail))
            return
        answer = make_answer(running.request.request, running.payload.answer_bytes)
        running.ended.set_result(Ok(damage_answer(answer, self.faults.broken)))

    def _end(self, running, outcome):
        del self.running[id(running)]
        self.states[running.request.request] = RequestState.RAN
        now = asyncio.get_running_loop().time()
        self.ledger.end(running.execution, outcome=outcome, time_s=now)

    def _record_cut_off(self, running, cause):
        self.ledger.cut_off(
            running.request.request,
            place=self.name,
            cause=cause,
            time_s=asyncio.get_running_loop().time(),
        )

    def _cut_all(self):
        planned = self.faults.draining
        cause = CutOffCause.PLANNED_STOP if planned else CutOffCause.VM_GONE
        closed = fail(ErrorKind.TIMEOUT, "connection closed by the endpoint")
        for running in list(self.running.values()):
            running.timer.cancel()
            self._end(running, cause.value)
            self._record_cut_off(running, cause)
            if not running.ended.done():
                running.ended.set_result(closed)
        self.states.clear()
        self.epochs.clear()
