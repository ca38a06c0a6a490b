"""Facts about the leadership of this process."""

import attrs

__all__ = ["LeaderElected", "LeaderSteppedDown"]


@attrs.frozen(kw_only=True)
class LeaderElected:
    """The own process leads a shard under `epoch`."""

    shard: str
    epoch: int


@attrs.frozen(kw_only=True)
class LeaderSteppedDown:
    """The own process no longer leads a shard that it led under `epoch`."""

    shard: str
    epoch: int
    reason: str
