"""Events about the shards that this process leads."""

import attrs

__all__ = ["LeaderElected", "LeaderSteppedDown"]


@attrs.frozen(kw_only=True)
class LeaderElected:
    """The local process has become the leader of a shard under `epoch`."""

    shard: str
    epoch: int


@attrs.frozen(kw_only=True)
class LeaderSteppedDown:
    """The local process no longer leads a shard that it led under `epoch`."""

    shard: str
    epoch: int
    reason: str
