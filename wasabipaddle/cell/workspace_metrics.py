"""Metrics of workspaces, for a bounded number of them."""

import hashlib
import re

__all__ = ["WorkspaceMetrics"]

# Workspaces with metrics of their own; the others are counted together.
MAX_WORKSPACES = 20
# Characters of a name that a metric may have, and the length of a name that is kept.
UNSAFE = re.compile(r"[^A-Za-z0-9_]")
MAX_NAME = 40
DIGEST_DIGITS = 8


class WorkspaceMetrics:
    """Gauges of what the workspaces use, wait for, and have beyond their rate.

    The workspaces that use most of their quota have gauges of their own, which change
    with them, so that their number does not grow with that of the workspaces.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(self, *, metrics):
        self.metrics = metrics
        self.shown = {}

    def update(self, state):
        """Set the gauges to the present values.

        Parameters
        ----------
        state : CellState or None
            State of the dispatcher, None while the process does not lead.
        """
        if state is None or not state.configuration.workspaces:
            self._show({})
            return
        quotas = state.quotas
        used = {name: quotas.used_fraction(name) for name in quotas.in_use}
        most = sorted(used, key=lambda name: (-used[name], name))[:MAX_WORKSPACES]
        self._show(
            {
                "workspaces_waiting_for_quota": len(quotas.waits),
                "workspaces_without_own_metrics": len(used) - len(most),
                "jobs_beyond_rate": sum(
                    entry.in_excess for entry in state.unfinished.values()
                ),
            }
            | {
                f"workspace_quota_used_percent_{_label(name)}": int(100 * used[name])
                for name in most
            }
            | {
                f"workspace_cpu_in_use_{_label(name)}": quotas.in_use[name].cpu
                for name in most
            }
        )

    def _show(self, gauges):
        """Replace the gauges that were shown before."""
        for name in self.shown.keys() - gauges.keys():
            self.metrics.remove_gauge(name, self.shown[name])
        for name, value in gauges.items():
            self.metrics.gauge(name, value)
        self.shown = gauges


def _label(name):
    """Return the end of the names of a workspace's gauges.

    Names that do not fit get a digest, since several of them may be alike otherwise.
    """
    label = UNSAFE.sub("_", name)[:MAX_NAME]
    if label == name:
        return label
    return f"{label}_{hashlib.sha256(name.encode()).hexdigest()[:DIGEST_DIGITS]}"
