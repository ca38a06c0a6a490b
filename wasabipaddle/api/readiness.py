"""Readiness of the process for the platform's balancer."""

import asyncio

__all__ = ["Readiness"]


class Readiness:
    """Collects the reasons of roles that are not ready, and the state of the shutdown.

    Attributes
    ----------
    reason_by_role : dict of str to str
        Why a role is not ready, for each such role.
    shutting_down : asyncio.Event
        Set when the shutdown starts; the process is not ready from then on.
    refuses_new_work : bool
        Whether new work is refused, from shortly after the start of the shutdown.
    """

    def __init__(self):
        self.reason_by_role = {}
        self.shutting_down = asyncio.Event()
        self.refuses_new_work = False

    def update(self, change):
        """Apply a `ReadinessChanged` event."""
        if change.reason:
            self.reason_by_role[change.role] = change.reason
        else:
            self.reason_by_role.pop(change.role, None)

    @property
    def reasons(self) -> list[str]:
        """Reasons why the process is not ready; empty if it is ready."""
        reasons = [
            f"{role}: {reason}" for role, reason in sorted(self.reason_by_role.items())
        ]
        if self.shutting_down.is_set():
            reasons.insert(0, "draining")
        return reasons
