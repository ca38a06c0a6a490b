"""Time line of events over all processes."""

from wasabipaddle.timeline.events import Event, EventKind, EventRing

__all__ = ["Event", "EventKind", "EventRing"]
