"""Merge of the events of several processes into one timeline."""

import heapq
import operator

import attrs

from wasabipaddle.timeline.events import Event

__all__ = ["Timeline", "merge_events"]

_sort_key = operator.attrgetter("time", "process")


@attrs.frozen(kw_only=True)
class Timeline:
    """Events of all processes, ordered by hybrid logical time.

    Parameters
    ----------
    events : tuple of Event
        Events ordered by time; of equal times, by the name of the process.
    processes : tuple of str
        Processes that answered.
    missing : tuple of str
        Processes that did not answer.
    """

    events: tuple[Event, ...]
    processes: tuple[str, ...]
    missing: tuple[str, ...] = ()


def merge_events(by_process, *, missing=(), limit=None) -> Timeline:
    """Merge the events of several processes into one timeline.

    Parameters
    ----------
    by_process : dict of str to sequence of Event
        Events of each process that answered.
    missing : sequence of str
        Processes that did not answer.
    limit : int or None
        Largest number of events, of which the latest are kept; None keeps all.
    """
    ordered = [sorted(events, key=_sort_key) for events in by_process.values()]
    merged = tuple(heapq.merge(*ordered, key=_sort_key))
    return Timeline(
        events=merged if limit is None else merged[-limit:],
        processes=tuple(sorted(by_process)),
        missing=tuple(sorted(missing)),
    )
