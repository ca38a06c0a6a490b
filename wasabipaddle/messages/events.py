"""Messages that collect the timeline from all processes."""

import attrs

from wasabipaddle.timeline import Event

__all__ = ["EventPage", "QueryEvents"]


@attrs.frozen(kw_only=True)
class QueryEvents:
    """Asks one process for the events of the timeline that it keeps.

    Parameters
    ----------
    run, vm, service : str or None
        Filters; None matches everything.
    since_ms : int
        Earliest time, in Unix milliseconds.
    limit : int
        Largest number of events; the latest ones are returned.
    """

    run: str | None = None
    vm: str | None = None
    service: str | None = None
    since_ms: int = 0
    limit: int = 1000


@attrs.frozen(kw_only=True)
class EventPage:
    """Events of one process in the order in which they were recorded."""

    process: str
    events: tuple[Event, ...]
