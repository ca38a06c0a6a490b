"""Readiness of the process for the platform's balancer."""

import asyncio

__all__ = ["Readiness"]


class Readiness:
    """Collects the vetoes of the roles and the start of the shutdown.

    Attributes
    ----------
    vetoes : dict of str to str
        Reason by role.
    leaving : asyncio.Event
        Set when the shutdown starts; readiness fails from then on.
    refusing : bool
        Whether new work is refused.
    """

    def __init__(self):
        self.vetoes = {}
        self.leaving = asyncio.Event()
        self.refusing = False

    def update(self, change):
        """Apply a `ReadinessChanged` fact."""
        if change.reason:
            self.vetoes[change.role] = change.reason
        else:
            self.vetoes.pop(change.role, None)

    @property
    def reasons(self) -> list[str]:
        """Why the process is not ready; empty if it is."""
        reasons = [f"{role}: {reason}" for role, reason in sorted(self.vetoes.items())]
        if self.leaving.is_set():
            reasons.insert(0, "draining")
        return reasons
