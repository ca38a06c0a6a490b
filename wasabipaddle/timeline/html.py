"""Timeline as one self-contained HTML page with a lane for each process."""

import html

from wasabipaddle.timeline.text import format_time

__all__ = ["render_html"]

ROW_HEIGHT_PX = 22
LANE_WIDTH_PX = 230
TIME_WIDTH_PX = 120
HEADER_HEIGHT_PX = 34

_GROUP_COLOURS = {
    "process": "#607d8b",
    "member": "#607d8b",
    "leader": "#8e24aa",
    "store": "#c62828",
    "document": "#00838f",
    "request": "#1565c0",
    "connection": "#ef6c00",
    "grants": "#6d4c41",
    "run": "#2e7d32",
    "task": "#558b2f",
    "worker": "#ad1457",
    "vm": "#ad1457",
}

_STYLE = """
body { font: 13px system-ui, sans-serif; margin: 16px; color: #222; }
.chart { position: relative; border: 1px solid #ccc; overflow: auto; max-height: 85vh; }
.lane { position: absolute; top: 0; border-left: 1px solid #e0e0e0; }
.head { position: sticky; top: 0; background: #fafafa; z-index: 2;
        border-bottom: 1px solid #ccc; }
.head span { position: absolute; top: 8px; font-weight: 600; }
.time { position: absolute; left: 6px; color: #777;
        font-variant-numeric: tabular-nums; }
.event { position: absolute; color: #fff; border-radius: 4px; padding: 1px 6px;
         white-space: nowrap; overflow: hidden; text-overflow: ellipsis; }
.missing { color: #c62828; font-weight: 600; }
"""


def render_html(timeline, *, title) -> str:
    """Return the HTML page of a timeline.

    Parameters
    ----------
    timeline : Timeline
        Merged events.
    title : str
        Heading of the page, for example the identifier of a run.
    """
    lanes = list(timeline.processes)
    width = TIME_WIDTH_PX + LANE_WIDTH_PX * len(lanes)
    height = HEADER_HEIGHT_PX + ROW_HEIGHT_PX * (len(timeline.events) + 1)
    parts = [
        "<!doctype html>",
        f"<html lang='en'><head><meta charset='utf-8'><title>{_escape(title)}</title>",
        f"<style>{_STYLE}</style></head><body><h1>{_escape(title)}</h1>",
        f"<p>{len(timeline.events)} events of {len(lanes)} processes.</p>",
        *(_missing(p) for p in timeline.missing),
        "<div class='chart'>",
        _header(lanes, width),
        f"<div style='position:relative;width:{width}px;height:{height}px'>",
        *(_lane(i, height) for i in range(len(lanes))),
        *(_event(i, e, lanes.index(e.process)) for i, e in enumerate(timeline.events)),
        "</div></div></body></html>",
    ]
    return "\n".join(parts)


def _escape(text):
    return html.escape(str(text), quote=True)


def _missing(process):
    return f"<p class='missing'>{_escape(process)} did not answer.</p>"


def _left(lane):
    return TIME_WIDTH_PX + LANE_WIDTH_PX * lane


def _header(lanes, width):
    names = "".join(
        f"<span style='left:{_left(i) + 8}px'>{_escape(p)}</span>"
        for i, p in enumerate(lanes)
    )
    size = f"width:{width}px;height:{HEADER_HEIGHT_PX}px"
    return f"<div class='head' style='{size}'>{names}</div>"


def _lane(lane, height):
    return f"<div class='lane' style='left:{_left(lane)}px;height:{height}px'></div>"


def _event(row, event, lane):
    top = ROW_HEIGHT_PX * row + 4
    group = event.kind.value.split("_")[0]
    colour = _GROUP_COLOURS.get(group, "#444")
    parts = (event.run, event.request, event.vm, event.service, event.detail)
    text = " ".join(p for p in parts if p)
    label = f"{event.kind.value} {text}"
    style = (
        f"top:{top}px;left:{_left(lane) + 6}px;"
        f"max-width:{LANE_WIDTH_PX - 24}px;background:{colour}"
    )
    stamp = format_time(event.time)
    return (
        f"<div class='time' style='top:{top}px'>{stamp}</div>"
        f"<div class='event' style='{style}' title='{_escape(label)}'>"
        f"{_escape(label)}</div>"
    )
