"""Typed events and the ring buffer that keeps them."""

import collections
import enum

import attrs

from wasabipaddle.clock import HybridTime

__all__ = ["Event", "EventKind", "EventRing"]

DEFAULT_CAPACITY = 20_000


class EventKind(enum.Enum):
    """Kinds of events on the timeline."""

    PROCESS_STARTED = "process_started"
    PROCESS_DRAINING = "process_draining"
    PROCESS_STOPPED = "process_stopped"
    MEMBER_UP = "member_up"
    MEMBER_DOWN = "member_down"
    LEADER_ELECTED = "leader_elected"
    LEADER_STEPPED_DOWN = "leader_stepped_down"
    LEADER_RECOVERED = "leader_recovered"
    STORE_DOWN = "store_down"
    STORE_UP = "store_up"
    DOCUMENT_APPLIED = "document_applied"
    REQUEST_ADMITTED = "request_admitted"
    REQUEST_REFUSED = "request_refused"
    REQUEST_SENT = "request_sent"
    REQUEST_RETRIED = "request_retried"
    REQUEST_ANSWERED = "request_answered"
    REQUEST_FORWARDED = "request_forwarded"
    CONNECTION_REPLACED = "connection_replaced"
    GRANTS_CHANGED = "grants_changed"
    RUN_SUBMITTED = "run_submitted"
    RUN_ACCEPTED = "run_accepted"
    RUN_ENDED = "run_ended"
    TASK_PLACED = "task_placed"
    TASK_STARTED = "task_started"
    TASK_ENDED = "task_ended"
    TASK_RESTARTED = "task_restarted"
    TASK_PREEMPTED = "task_preempted"
    WORKER_LOST = "worker_lost"
    WORKER_QUARANTINED = "worker_quarantined"
    WORKER_RETURNED = "worker_returned"
    VM_LEAVING = "vm_leaving"


@attrs.frozen(kw_only=True)
class Event:
    """Event that one process recorded.

    Parameters
    ----------
    time : HybridTime
        Hybrid logical time of the event.
    process : str
        Name of the process that recorded the event.
    kind : EventKind
        What happened.
    run, vm, service, request : str or None
        Identifiers of the objects that the event concerns. Filters match the first
        three.
    detail : str
        Human-readable details on one line.
    """

    time: HybridTime
    process: str
    kind: EventKind
    run: str | None = None
    vm: str | None = None
    service: str | None = None
    request: str | None = None
    detail: str = ""


class EventRing:
    """Ring buffer with the latest events of one process.

    Parameters
    ----------
    process : str
        Name of the process.
    hybrid_clock : HybridClock
        Hybrid logical clock that stamps the events.
    capacity : int
        Largest number of events kept; the oldest are dropped first.
    """

    def __init__(self, *, process, hybrid_clock, capacity=DEFAULT_CAPACITY):
        self.process = process
        self.hybrid_clock = hybrid_clock
        self.events = collections.deque(maxlen=capacity)

    def record(self, kind, **fields) -> Event:
        """Append an event with the current time and return it.

        Parameters
        ----------
        kind : EventKind
            What happened.
        fields : dict
            Other fields of the `Event`.
        """
        event = Event(
            time=self.hybrid_clock.tick(), process=self.process, kind=kind, **fields
        )
        self.events.append(event)
        return event

    def select(self, *, run=None, vm=None, service=None, since_ms=0):
        """Return the kept events that match every given filter."""
        return [
            e
            for e in self.events
            if e.time.wall_ms >= since_ms
            and (run is None or e.run == run)
            and (vm is None or e.vm == vm)
            and (service is None or e.service == service)
        ]
