"""Fact by which a role vetoes the readiness of its process."""

import attrs

__all__ = ["ReadinessChanged"]


@attrs.frozen(kw_only=True)
class ReadinessChanged:
    """A role is ready for work, or not any more.

    Parameters
    ----------
    role : str
        Name of the plug-in.
    reason : str
        Why the process should get no new work; empty if the role is ready.
    """

    role: str
    reason: str = ""
