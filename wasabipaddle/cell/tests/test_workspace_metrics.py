"""Metrics of workspaces in the dispatcher."""

from wasabipaddle.cell.workspace_metrics import MAX_WORKSPACES, WorkspaceMetrics
from wasabipaddle.dispatch.state import CellState, Timing
from wasabipaddle.dispatch.usage import Usage
from wasabipaddle.jobs import Capacity, CellConfiguration, Workspace
from wasabipaddle.metrics import Metrics


def make_state(count):
    state = CellState(timing=Timing(), journal=lambda kind, **values: None)
    names = [f"w{n} é" for n in range(count)]
    workspaces = {
        name: Workspace(name=name, quota=Capacity(cpu=1000)) for name in names
    }
    state.configuration = CellConfiguration(version=1, workspaces=workspaces)
    state.quotas.configure(workspaces)
    for n, name in enumerate(names):
        state.quotas.in_use[name] = Usage(cpu=n)
    return state


def test_number_of_gauges_does_not_grow_with_the_workspaces():
    """Guards against metrics without a bound, which follow the largest users."""
    metrics = Metrics()
    shown = WorkspaceMetrics(metrics=metrics)
    state = make_state(1000)
    shown.update(state)
    gauges = dict(metrics.gauges)
    assert len(gauges) == 3 + 2 * MAX_WORKSPACES
    assert gauges["workspace_quota_used_percent_w999__"] == 99
    assert gauges["workspaces_without_own_metrics"] == 1000 - MAX_WORKSPACES
    state.quotas.in_use["w0 é"].cpu = 5000
    shown.update(state)
    assert len(metrics.gauges) == len(gauges)
    assert metrics.gauges["workspace_cpu_in_use_w0__"] == 5000


def test_gauges_end_with_the_leadership():
    """Guards against figures of a process that no longer knows them."""
    metrics = Metrics()
    shown = WorkspaceMetrics(metrics=metrics)
    shown.update(make_state(3))
    shown.update(None)
    assert not metrics.gauges
