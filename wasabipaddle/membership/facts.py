"""Facts that membership publishes on the bus of a process."""

import attrs

__all__ = ["EpochSeen", "MemberDown", "MemberUp", "RevisionSeen", "StorePauseSeen"]


@attrs.frozen(kw_only=True)
class MemberUp:
    """A member is live, for the first time or again."""

    name: str
    data_centre: str
    incarnation: int


@attrs.frozen(kw_only=True)
class MemberDown:
    """A member has been silent for the suspicion time."""

    name: str
    data_centre: str
    incarnation: int


@attrs.frozen(kw_only=True)
class RevisionSeen:
    """A peer holds documents up to `revision`."""

    peer: str
    revision: int


@attrs.frozen(kw_only=True)
class EpochSeen:
    """A peer leads a shard under `epoch`."""

    shard: str
    epoch: int
    leader: str


@attrs.frozen(kw_only=True)
class StorePauseSeen:
    """A peer has paused its store calls for another `pause_s` seconds."""

    pause_s: float
