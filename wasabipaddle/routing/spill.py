"""Forwarding of requests to another data centre when capacity is short."""

import attrs
from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure, Outcome
from wasabipaddle.messages import ForwardReply, ForwardRequest, RoutedAnswer
from wasabipaddle.routing.answers import buffered_body, digest_of
from wasabipaddle.timeline import EventKind

__all__ = ["ByteAllowance", "SpillPolicy", "SpillTarget"]

# Failures that another data centre may be able to avoid. An exceeded quota or an
# invalid request fails everywhere.
SPILL_KINDS = frozenset(
    {
        ErrorKind.QUEUE_FULL,
        ErrorKind.SHED,
        ErrorKind.DEADLINE_UNMEETABLE,
        ErrorKind.NO_CAPACITY,
        ErrorKind.NO_LEADER,
        ErrorKind.UNREACHABLE,
    }
)
ALLOWANCE_BURST_S = 2.0
# Bodies are base64 text in JSON; the envelope is headers and field names.
BASE64_RATIO = 4 / 3
ENVELOPE_BYTES = 600
REFUSAL_PAUSE_S = 1.0
INITIAL_ANSWER_BYTES = 4_096.0
ANSWER_EWMA_WEIGHT = 0.1


class ByteAllowance:
    """Token bucket that limits the bytes on the link between regions.

    An answer is charged after it has arrived, so the balance may become negative.
    Requests are refused until the balance covers them.

    Parameters
    ----------
    bytes_per_s : float
        Rate at which the bucket fills.
    now : float
        Start time, at which the bucket is full.
    """

    def __init__(self, *, bytes_per_s, now):
        self.bytes_per_s = bytes_per_s
        self.burst = bytes_per_s * ALLOWANCE_BURST_S
        self.balance = self.burst
        self.updated_at = now

    def allows(self, size, *, now) -> bool:
        """Return whether `size` bytes may be sent now."""
        self._refill(now)
        return self.balance >= size

    def charge(self, size, *, now):
        """Count `size` bytes as sent."""
        self._refill(now)
        self.balance -= size

    def _refill(self, now):
        earned = (now - self.updated_at) * self.bytes_per_s
        self.balance = min(self.balance + earned, self.burst)
        self.updated_at = now


@attrs.frozen(kw_only=True)
class SpillTarget:
    """Process to forward a request to.

    Parameters
    ----------
    crosses_link : bool
        Whether the request uses the link between regions.
    """

    process: str
    data_centre: str
    crosses_link: bool


class SpillPolicy:
    """Forwards requests that are known not to have run to another data centre.

    A live process in another data centre of the region is preferred; data centres of
    other regions are used as far as the byte allowance permits. A data centre that
    does not run a forwarded request is skipped for about `REFUSAL_PAUSE_S`.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    peers : object
        Has `live(data_centre)`, which returns names of live entry processes.
    transport : Transport
        Calls to other entry processes.
    clock : Clock
        Source of time.
    random : random.Random
        Source of the choice between processes, and of jitter.
    metrics : Metrics
        Counters; `link_bytes.request` and `link_bytes.answer` count the estimated
        bytes on the link between regions.
    trace : RequestTrace
        Events of requests.
    """

    def __init__(self, *, settings, peers, transport, clock, random, metrics, trace):
        self.settings = settings
        self.peers = peers
        self.transport = transport
        self.clock = clock
        self.random = random
        self.metrics = metrics
        self.trace = trace
        self.allowance = ByteAllowance(
            bytes_per_s=settings.deployment.link.spill_bytes_per_s, now=clock.now()
        )
        self.paused_until = {}
        self.mean_answer_bytes = INITIAL_ANSWER_BYTES

    def can_spill(self, failure) -> bool:
        """Return whether another data centre may be able to avoid a failure."""
        return failure.outcome is Outcome.NOT_RUN and failure.kind in SPILL_KINDS

    def target(self, document, size) -> SpillTarget | None:
        """Return a target for a request of `size` encoded bytes, or None."""
        now = self.clock.now()
        same_region, other_regions = self._candidates(document, now)
        for centre in same_region:
            target = self._process_in(centre, crosses_link=False)
            if target is not None:
                return target
        if not self.allowance.allows(size + self.mean_answer_bytes, now=now):
            self.metrics.count("spill.denied")
            return None
        for centre in other_regions:
            target = self._process_in(centre, crosses_link=True)
            if target is not None:
                return target
        return None

    async def forward(self, message, document, failure):
        """Forward a request after a local failure.

        Returns
        -------
        result.Result
            The answer; the local failure if the request did not run elsewhere; the
            remote failure if it ran; else an `Err` of kind `outcome_unknown`.
        """
        left = message.deadline - self.clock.now()
        size = len(message.body) * BASE64_RATIO + ENVELOPE_BYTES
        if not self.can_spill(failure) or left <= 0:
            return Err(failure)
        target = self.target(document, size)
        if target is None:
            return Err(failure)
        forward = ForwardRequest(
            sender=self.settings.process,
            request=message.request,
            service=message.service,
            caller=message.caller,
            deadline_s=left,
            body=message.body,
        )
        self._charge_link(target, "request", size)
        self.trace.record(
            EventKind.REQUEST_FORWARDED, message, detail=target.data_centre
        )
        reply = await self.transport.call(
            target.process, forward, ForwardReply, timeout_s=left
        )
        if reply.is_ok():
            return Ok(self._answer(target, message, reply.unwrap()))
        return Err(self._remote_failure(target, failure, reply.unwrap_err()))

    def _candidates(self, document, now):
        settings = self.settings
        placement = document.placement
        same_region, other_regions = [], []
        for centre in settings.deployment.data_centres:
            if centre.name == settings.data_centre:
                continue
            if placement.regions and centre.region not in placement.regions:
                continue
            if placement.data_centres and centre.name not in placement.data_centres:
                continue
            if self.paused_until.get(centre.name, 0.0) > now:
                continue
            same = centre.region == settings.region
            (same_region if same else other_regions).append(centre.name)
        return same_region, other_regions

    def _process_in(self, centre, *, crosses_link):
        names = sorted(self.peers.live(centre))
        if not names:
            return None
        return SpillTarget(
            process=self.random.choice(names),
            data_centre=centre,
            crosses_link=crosses_link,
        )

    def _answer(self, target, message, reply):
        size = len(reply.body) * BASE64_RATIO + ENVELOPE_BYTES
        self._charge_link(target, "answer", size)
        self.mean_answer_bytes += ANSWER_EWMA_WEIGHT * (size - self.mean_answer_bytes)
        self.metrics.count("spill.served")
        return RoutedAnswer(
            request=message.request,
            length=len(reply.body),
            digest=digest_of(reply.body),
            chunks=buffered_body([reply.body]),
        )

    def _remote_failure(self, target, local, remote):
        if remote.outcome is Outcome.NOT_RUN:
            pause = REFUSAL_PAUSE_S * self.random.uniform(0.5, 1.5)
            self.paused_until[target.data_centre] = self.clock.now() + pause
            self.metrics.count("spill.refused")
            return local
        if remote.outcome is Outcome.RAN:
            return remote
        detail = f"forwarded to {target.data_centre}: {remote.detail}"
        return Failure(kind=ErrorKind.OUTCOME_UNKNOWN, detail=detail)

    def _charge_link(self, target, kind, size):
        if target.crosses_link:
            self.allowance.charge(size, now=self.clock.now())
            self.metrics.count(f"link_bytes.{kind}", int(size))
