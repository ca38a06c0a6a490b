"""Timeline of the events of all processes."""

from wasabipaddle.timeline.events import Event, EventKind, EventRing
from wasabipaddle.timeline.html import render_html
from wasabipaddle.timeline.merge import Timeline, merge_events
from wasabipaddle.timeline.text import render_json_lines, render_text

__all__ = [
    "Event",
    "EventKind",
    "EventRing",
    "Timeline",
    "merge_events",
    "render_html",
    "render_json_lines",
    "render_text",
]
