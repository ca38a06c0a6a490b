"""Requests to the eligibility service, spread over all processes of the cell."""

import math

from result import Err, Ok

from wasabipaddle.cell.members import MembersPlugin
from wasabipaddle.cell.roster import MAX_HELLO_AGE_S
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
# Time for which a process that did not reply is excluded.
EXCLUSION_S = 1.0
EXCLUSION_KINDS = frozenset({ErrorKind.TIMEOUT, ErrorKind.UNREACHABLE})
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
    outstanding_s : dict of str to float
        Sum of the expected durations of the outstanding requests, by process.
    excluded_until_s : dict of str to float
        Monotonic time until which a process that did not reply is excluded, by process.
    """

    def __init__(self, *, members):
        self.members = members
        self.outstanding_s = {}
        self.excluded_until_s = {}

    async def ask(self, request):
        """Make a request and return an `AdviceReply` or an `Err`."""
        process = self._choose(request)
        if process is None:
            detail = "too many outstanding eligibility requests"
            return Err(Failure(kind=ErrorKind.QUEUE_FULL, detail=detail))
        waiting_s = self.outstanding_s.get(process, 0.0)
        timeout_s = waiting_s + request.expected_s + RESPONSE_MARGIN_S
        step = request.step
        message = AskAdvice(
            job=step.job.id,
            occurrence=step.occurrence,
            step=step.position,
            runners=[runner.id for runner in request.runners],
            timeout_s=timeout_s,
        )
        self.outstanding_s[process] = waiting_s + request.expected_s
        try:
            reply = await self.members.ask(
                process, message, AdviceReply, timeout_s=timeout_s + RELAY_MARGIN_S
            )
        finally:
            self.outstanding_s[process] -= request.expected_s
        if reply.is_err() and reply.err().kind in EXCLUSION_KINDS:
            now = self.members.context.clock.now()
            self.excluded_until_s[process] = now + EXCLUSION_S
        return reply

    def _choose(self, request):
        """Return the process for a request, or None if a non-urgent one has to wait.

        Unresponsive processes are left out while at least half of all are responsive.
        """
        now = self.members.context.clock.now()
        live = self.members.roster.live()
        responsive = [
            process
            for process in live
            if self.excluded_until_s.get(process, 0.0) <= now
            and self.members.roster.heard_within(process, MAX_HELLO_AGE_S)
        ]
        if 2 * len(responsive) >= len(live):
            live = responsive
        reserved = math.ceil(len(live) * RESERVED_SHARE) if len(live) > 1 else 0
        # The leader, unless excluded, is first in the list and thus reserved: its
        # requests need no relay.
        allowed = live if request.urgent else live[reserved:]
        process = min(allowed, key=lambda name: self.outstanding_s.get(name, 0.0))
        if (
            not request.urgent
            and self.outstanding_s.get(process, 0.0) > MAX_OUTSTANDING_S
        ):
            return None
        return process
