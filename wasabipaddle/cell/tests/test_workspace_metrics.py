"""Metrics of workspaces in the dispatcher."""

import hashlib

from wasabipaddle.cell.workspace_metrics import MAX_WORKSPACES, WorkspaceMetrics
from wasabipaddle.dispatch.state import CellState, Timing
from wasabipaddle.dispatch.usage import Usage
from wasabipaddle.jobs import Capacity, CellConfiguration, Workspace
from wasabipaddle.metrics import Metrics


def make_state(names):
    state = CellState(timing=Timing(), journal=lambda kind, **values: None)
    workspaces = {
        name: Workspace(name=name, quota=Capacity(cpu=1000)) for name in names
    }
    state.configuration = CellConfiguration(version=1, workspaces=workspaces)
    state.quotas.configure(workspaces)
    for n, name in enumerate(names):
        state.quotas.in_use[name] = Usage(cpu=n)
    return state


def make_names(count):
    return [f"w{n} é" for n in range(count)]


def label(name, safe):
    return f"{safe}_{hashlib.sha256(name.encode()).hexdigest()[:8]}"


def test_number_of_gauges_does_not_grow_with_the_workspaces():
    """Guards against metrics without a bound, which follow the largest users."""
    metrics = Metrics()
    shown = WorkspaceMetrics(metrics=metrics)
    state = make_state(make_names(1000))
    shown.update(state)
    gauges = dict(metrics.gauges)
    assert len(gauges) == 3 + 2 * MAX_WORKSPACES
    assert gauges[f"workspace_quota_used_percent_{label('w999 é', 'w999__')}"] == 99
    assert gauges["workspaces_without_own_metrics"] == 1000 - MAX_WORKSPACES
    state.quotas.in_use["w0 é"].cpu = 5000
    shown.update(state)
    assert len(metrics.gauges) == len(gauges)
    assert metrics.gauges[f"workspace_cpu_in_use_{label('w0 é', 'w0__')}"] == 5000


def test_workspaces_with_similar_names_have_gauges_of_their_own():
    """Guards against a workspace whose figures hide those of another one."""
    names = ["a b", "a-b", "a_b", "x" * 50 + "1", "x" * 50 + "2", "plain"]
    metrics = Metrics()
    WorkspaceMetrics(metrics=metrics).update(make_state(names))
    used = [
        value
        for name, value in metrics.gauges.items()
        if name.startswith("workspace_cpu_in_use_")
    ]
    assert sorted(used) == list(range(len(names)))
    assert metrics.gauges["workspace_cpu_in_use_plain"] == names.index("plain")


def test_gauges_end_with_the_leadership():
    """Guards against figures of a process that no longer knows them."""
    metrics = Metrics()
    shown = WorkspaceMetrics(metrics=metrics)
    shown.update(make_state(make_names(3)))
    shown.update(None)
    assert not metrics.gauges
