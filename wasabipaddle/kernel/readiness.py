"""Event by which a role reports whether it is ready."""

import attrs

__all__ = ["ReadinessChanged"]


@attrs.frozen(kw_only=True)
class ReadinessChanged:
    """A role has become ready for work or is no longer ready.

    Parameters
    ----------
    role : str
        Name of the plugin.
    reason : str
        Why the process should receive no new work; empty if the role is ready.
    """

    role: str
    reason: str = ""
