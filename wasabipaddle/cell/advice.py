"""Requests to the eligibility service, spread over all processes of the cell."""

import asyncio
import math

import attrs
from result import Err, Ok

from wasabipaddle.cell.members import MembersPlugin
from wasabipaddle.cell.roster import LIVENESS_TIMEOUT_S, MAX_HELLO_AGE_S
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.kernel import Plugin
from wasabipaddle.messages.jobs import AdviceReply, AskAdvice
from wasabipaddle.platform import PlatformAdvice

__all__ = ["AdviceBalancer", "AdvicePlugin"]

# Time beyond the expected duration after which a response counts as lost.
RESPONSE_MARGIN_S = 0.4
# Additional time for the call to the process that makes the request.
RELAY_MARGIN_S = 0.3
# Share of the processes that is reserved for urgent requests.
RESERVED_SHARE = 0.4
# Time for which a process whose request has failed is excluded. It doubles with each
# further failure, up to the maximum.
EXCLUSION_S = 1.0
MAX_EXCLUSION_S = 8.0
# Interval at which the process of an outstanding request is checked for silence.
SILENCE_CHECK_S = 0.25
# A process whose outstanding requests are expected to take longer than this gets only
# urgent requests.
MAX_OUTSTANDING_S = 0.7


class AdvicePlugin(Plugin):
    """Role `cell_advice`: calls the eligibility service for the dispatcher."""

    name = "cell_advice"
    requires = (MembersPlugin.name,)

    async def start(self):
        """Open the client and register the handler of requests from the dispatcher."""
        address = self.context.settings.platform.eligibility
        self.client = PlatformAdvice(address=address)
        members = self.context.plugins[MembersPlugin.name]
        members.transport.handle(AskAdvice, self._handle_request)

    async def _handle_request(self, message):
        response = await self.client.ask(
            job=message.job,
            occurrence=message.occurrence,
            step=message.step,
            runners=message.runners,
            timeout_s=message.timeout_s,
        )
        if response.is_err():
            return response
        advice = response.ok()
        return Ok(AdviceReply(tickets=advice.tickets, valid_s=advice.valid_s))

    async def stop(self):
        """Close the connections."""
        await self.client.close()


@attrs.define(kw_only=True)
class Relay:
    """Requests through one process.

    Parameters
    ----------
    outstanding : int
        Number of outstanding requests.
    outstanding_s : float
        Sum of their expected durations.
    failures : int
        Number of consecutive exclusions.
    excluded_until_s : float
        Monotonic time until which the process is excluded, as its requests failed.
    """

    outstanding: int = 0
    outstanding_s: float = 0.0
    failures: int = 0
    excluded_until_s: float = 0.0

    def begin(self, expected_s):
        """Count a request."""
        self.outstanding += 1
        self.outstanding_s += expected_s

    def end(self, expected_s):
        """Count a request as no longer outstanding."""
        self.outstanding -= 1
        self.outstanding_s -= expected_s

    def record_reply(self):
        """End the exclusion."""
        self.failures = 0
        self.excluded_until_s = 0.0

    def record_failure(self, now):
        """Exclude the process, unless it is excluded for an earlier request."""
        if now < self.excluded_until_s:
            return
        exclusion_s = min(EXCLUSION_S * 2**self.failures, MAX_EXCLUSION_S)
        self.failures += 1
        self.excluded_until_s = now + exclusion_s


class AdviceBalancer:
    """Chooses the process that makes each request.

    The service handles the calls of each machine one at a time, so requests are spread
    over the processes, and urgent requests must not wait behind long ones.

    Parameters
    ----------
    members : MembersPlugin
        Live processes and the calls to them.

    Attributes
    ----------
    relays : dict of str to Relay
        Requests through each live process, by name.
    """

    def __init__(self, *, members):
        self.members = members
        self.relays = {}

    async def ask(self, request):
        """Make a request and return an `AdviceReply` or an `Err`."""
        process = self._choose(request)
        if process is None:
            detail = "too many outstanding eligibility requests"
            return Err(Failure(kind=ErrorKind.QUEUE_FULL, detail=detail))
        relay = self.relays[process]
        timeout_s = relay.outstanding_s + request.expected_s + RESPONSE_MARGIN_S
        step = request.step
        message = AskAdvice(
            job=step.job.id,
            occurrence=step.occurrence,
            step=step.position,
            runners=[runner.id for runner in request.runners],
            timeout_s=timeout_s,
        )
        relay.begin(request.expected_s)
        try:
            reply = await self._ask_while_heard(process, message, timeout_s)
        finally:
            relay.end(request.expected_s)
        if reply.is_ok():
            relay.record_reply()
        else:
            # A process that refuses at once has nothing outstanding, so it would be
            # chosen for each request.
            relay.record_failure(self.members.context.clock.now())
        return reply

    async def _ask_while_heard(self, process, message, timeout_s):
        """Send a request and return the reply, or an `Err` once the process is silent.

        The time limit includes the requests before this one and may be much longer than
        it takes to notice that a process is gone.
        """
        call = asyncio.ensure_future(
            self.members.ask(
                process, message, AdviceReply, timeout_s=timeout_s + RELAY_MARGIN_S
            )
        )
        try:
            while self.members.roster.heard_within(process, LIVENESS_TIMEOUT_S):
                done, _ = await asyncio.wait({call}, timeout=SILENCE_CHECK_S)
                if done:
                    return call.result()
        finally:
            call.cancel()
        detail = f"{process} is silent"
        return Err(Failure(kind=ErrorKind.UNREACHABLE, detail=detail))

    def count_slots(self) -> int:
        """Return how many non-urgent requests can be made at once, one a process."""
        return sum(map(self._takes_non_urgent, self._allowed(urgent=False)))

    def _takes_non_urgent(self, process) -> bool:
        return self.relays[process].outstanding_s <= MAX_OUTSTANDING_S

    def _choose(self, request):
        """Return the process for a request, or None if a non-urgent one has to wait."""
        allowed = self._allowed(urgent=request.urgent)
        process = min(allowed, key=lambda name: self.relays[name].outstanding_s)
        return process if request.urgent or self._takes_non_urgent(process) else None

    def _allowed(self, *, urgent):
        """Return the processes that may make a request."""
        available = self._available()
        if urgent or len(available) == 1:
            return available
        # The leader, unless excluded, is first in the list and thus reserved: its
        # requests need no relay.
        return available[math.ceil(len(available) * RESERVED_SHARE) :]

    def _available(self):
        """Return the processes to choose from.

        Processes that may be gone are left out. Excluded ones are left out while at
        least half are not excluded: otherwise the service itself is likely to be down.
        """
        roster = self.members.roster
        live = roster.live()
        self._discard_idle(live)
        heard = [p for p in live if roster.heard_within(p, MAX_HELLO_AGE_S)]
        now = self.members.context.clock.now()
        responsive = [p for p in heard if self.relays[p].excluded_until_s <= now]
        return responsive if 2 * len(responsive) >= len(heard) else heard

    def _discard_idle(self, live):
        """Keep a `Relay` for each live process and each with outstanding requests."""
        self.relays = {
            process: relay
            for process, relay in self.relays.items()
            if relay.outstanding or process in live
        }
        for process in live:
            self.relays.setdefault(process, Relay())
