"""Timeline as text and as JSON lines."""

import datetime

import msgspec

__all__ = ["format_time", "render_json_lines", "render_text"]

MS_PER_S = 1000


def format_time(stamp) -> str:
    """Return the wall-clock part of a hybrid logical time as a UTC time of day."""
    moment = datetime.datetime.fromtimestamp(stamp.wall_ms / MS_PER_S, datetime.UTC)
    return moment.strftime("%H:%M:%S.%f")[:-3]


def render_text(timeline) -> str:
    """Return one line for each event and one for each missing process."""
    width = max((len(p) for p in timeline.processes), default=0)
    lines = [_event_line(e, width) for e in timeline.events]
    lines.extend(f"missing: {p} did not answer" for p in timeline.missing)
    return "\n".join(lines)


def render_json_lines(timeline) -> str:
    """Return one JSON object for each event and one for each missing process."""
    lines = [msgspec.json.encode(e).decode() for e in timeline.events]
    lines.extend(msgspec.json.encode({"missing": p}).decode() for p in timeline.missing)
    return "\n".join(lines)


def _event_line(event, width):
    subjects = (event.run, event.request, event.vm, event.service)
    subject = " ".join(s for s in subjects if s)
    parts = (
        f"{format_time(event.time)}+{event.time.counter}",
        f"{event.process:{width}}",
        event.kind.value,
        subject,
        event.detail,
    )
    return "  ".join(p for p in parts if p)
