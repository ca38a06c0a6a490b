"""Cell membership: liveness of processes, delegates and shard leaders."""

from wasabipaddle.membership.events import (
    EpochSeen,
    MemberDown,
    MemberUp,
    RevisionSeen,
    StorePauseSeen,
)
from wasabipaddle.membership.table import LocalState, Member, MemberTable

__all__ = [
    "EpochSeen",
    "LocalState",
    "Member",
    "MemberDown",
    "MemberTable",
    "MemberUp",
    "RevisionSeen",
    "StorePauseSeen",
]
