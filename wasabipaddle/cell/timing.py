"""Time limits of the decisions, from the limits of the platform."""

from wasabipaddle.dispatch.state import Timing

__all__ = ["make_timing"]

# Upper limits of `Timing.lease_s` and `Timing.start_s`: fixed ones, and the share of
# `CellBounds.lease_max_s`, the platform's limit on leases, that both may use.
MAX_LEASE_S = 4.5
LEASE_SHARE = 0.75
MAX_START_S = 4.0


def make_timing(bounds) -> Timing:
    """Return the time limits of the decisions for a deployment.

    Parameters
    ----------
    bounds : CellBounds
        Limits and times that the platform sets.
    """
    return Timing(
        lease_s=min(bounds.lease_max_s * LEASE_SHARE, MAX_LEASE_S),
        start_s=min(bounds.lease_max_s * LEASE_SHARE, MAX_START_S),
        stop_s=bounds.stop_s,
        lease_max_s=bounds.lease_max_s,
        restore_s=bounds.restore_s,
        remote_slowdown=bounds.remote_slowdown,
        maintenance_s=bounds.maintenance_s,
    )
