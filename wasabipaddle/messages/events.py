"""Collection of the time line from all processes."""

import attrs

from wasabipaddle.timeline import Event

__all__ = ["EventPage", "QueryEvents"]


@attrs.frozen(kw_only=True)
class QueryEvents:
    """Question for the kept events of one process.

    Parameters
    ----------
    run, vm, service : str or None
        Filters; None matches everything.
    since_ms : int
        Earliest time, in milliseconds since the epoch.
    limit : int
        Largest number of events; the latest are kept.
    """

    run: str | None = None
    vm: str | None = None
    service: str | None = None
    since_ms: int = 0
    limit: int = 1000


@attrs.frozen(kw_only=True)
class EventPage:
    """Events of one process in the order of their recording."""

    process: str
    events: tuple[Event, ...]
