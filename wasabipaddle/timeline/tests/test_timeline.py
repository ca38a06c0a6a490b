"""Tests of the merged timeline."""

import json

import pytest

from wasabipaddle.clock import HybridClock, ManualClock
from wasabipaddle.timeline import (
    EventKind,
    EventRing,
    merge_events,
    render_html,
    render_json_lines,
    render_text,
)


@pytest.fixture
def timeline():
    clock = ManualClock(time_s=1.0)
    first = EventRing(process="entry-1", hybrid_clock=HybridClock(clock=clock))
    second = EventRing(process="entry-2", hybrid_clock=HybridClock(clock=clock))
    sent = first.record(EventKind.RUN_SUBMITTED, run="r1", service="<service>")
    second.hybrid_clock.receive(sent.time)
    second.record(EventKind.RUN_ACCEPTED, run="r1")
    first.record(EventKind.MEMBER_UP, vm="vm-1")
    return merge_events(
        {"entry-2": second.events, "entry-1": first.select(run="r1")},
        missing=["entry-3"],
    )


def test_merge_keeps_cause_before_effect(timeline):
    """Guards against a run acceptance that is sorted before its submission."""
    kinds = [e.kind for e in timeline.events]
    assert kinds == [EventKind.RUN_SUBMITTED, EventKind.RUN_ACCEPTED]


def test_every_rendering_names_missing_processes(timeline):
    """Guards against a timeline that seems complete although a process is missing."""
    assert "missing: entry-3" in render_text(timeline)
    assert json.loads(render_json_lines(timeline).splitlines()[-1]) == {
        "missing": "entry-3"
    }
    assert "entry-3 did not answer" in render_html(timeline, title="run r1")


def test_html_escapes_names_from_callers(timeline):
    """Guards against script injection through service names."""
    assert "<service>" not in render_html(timeline, title="<b>")


def test_ring_is_bounded():
    """Guards against memory use that grows with the uptime of a process."""
    hybrid_clock = HybridClock(clock=ManualClock())
    ring = EventRing(process="p", hybrid_clock=hybrid_clock, capacity=10)
    for _ in range(100):
        ring.record(EventKind.MEMBER_UP)
    assert len(ring.events) == 10


def test_limit_counts_the_events_of_all_processes(timeline):
    """Guards against a limit that applies to each process instead of the timeline."""
    by_process = {e.process: [e] for e in timeline.events}
    assert len(by_process) == 2
    assert merge_events(by_process, limit=1).events == timeline.events[-1:]
