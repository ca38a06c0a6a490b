"""Events that the membership service publishes on the bus of a process."""

import attrs

__all__ = ["EpochSeen", "MemberDown", "MemberUp", "RevisionSeen", "StorePauseSeen"]


@attrs.frozen(kw_only=True)
class MemberUp:
    """A member has become live, for the first time or again."""

    name: str
    data_centre: str
    incarnation: int


@attrs.frozen(kw_only=True)
class MemberDown:
    """A member has not been heard from for longer than the suspicion time."""

    name: str
    data_centre: str
    incarnation: int


@attrs.frozen(kw_only=True)
class RevisionSeen:
    """A peer has applied a higher document revision than this process."""

    peer: str
    revision: int


@attrs.frozen(kw_only=True)
class EpochSeen:
    """A heartbeat claims that `leader` leads a shard under `epoch`."""

    shard: str
    epoch: int
    leader: str


@attrs.frozen(kw_only=True)
class StorePauseSeen:
    """A peer has paused its store calls for another `pause_s` seconds."""

    pause_s: float
