"""Recording of request events on the timeline of the process."""

from wasabipaddle.timeline import EventKind

__all__ = ["RequestTrace"]

MAX_REFUSALS_PER_S = 10


class RequestTrace:
    """Records events of requests.

    At most `MAX_REFUSALS_PER_S` refusals are recorded per second, since a flood of
    them would otherwise evict all other events from the ring buffer.

    Parameters
    ----------
    events : EventRing or None
        Timeline of the process; if None, nothing is recorded.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, events, clock):
        self.events = events
        self.clock = clock
        self.current_second = 0
        self.refusals_in_second = 0

    def record(self, kind, message, *, vm=None, detail=""):
        """Record an event of a request."""
        if self.events is not None:
            self.events.record(
                kind,
                request=message.request,
                service=message.service,
                vm=vm,
                detail=detail,
            )

    def record_refusal(self, message, failure):
        """Record a refusal, up to `MAX_REFUSALS_PER_S` per second."""
        second = int(self.clock.now())
        if second != self.current_second:
            self.current_second = second
            self.refusals_in_second = 0
        self.refusals_in_second += 1
        if self.refusals_in_second <= MAX_REFUSALS_PER_S:
            detail = failure.kind.value
            self.record(EventKind.REQUEST_REFUSED, message, detail=detail)
