"""Membership messages."""

import attrs

from wasabipaddle.clock import HybridTime

__all__ = [
    "DataCentreSummary",
    "DrainNotice",
    "Heartbeat",
    "HeartbeatReply",
    "LeaderHandover",
    "LedShard",
    "MemberAge",
    "MemberView",
    "ShardClaim",
]


@attrs.frozen(kw_only=True)
class LedShard:
    """A shard that the sender leads."""

    shard: str
    epoch: int


@attrs.frozen(kw_only=True)
class ShardClaim:
    """Highest known claim to lead a shard."""

    shard: str
    epoch: int
    leader: str
    incarnation: int


@attrs.frozen(kw_only=True)
class MemberAge:
    """When a member was last heard from, directly or through others.

    Parameters
    ----------
    age_s : float
        Time since then at the sending of the message, in seconds.
    """

    name: str
    incarnation: int
    age_s: float


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Periodic message to a member of the same data centre.

    Parameters
    ----------
    incarnation : int
        Start number of the process, in milliseconds since the epoch.
    revision : int
        Highest document revision that is applied.
    led : tuple of LedShard
        Shards that the sender leads.
    draining : bool
        Whether the sender is shutting down.
    load : float
        Requests in progress over slots held.
    store_pause_s : float
        Remaining pause of store calls after a throttled answer, 0 for none.
    seen : tuple of MemberAge
        Bounded sample of the members that the sender knows.
    claims : tuple of ShardClaim
        Bounded sample of the shard leaders that the sender knows.
    """

    sender: str
    incarnation: int
    hlc: HybridTime
    revision: int
    led: tuple[LedShard, ...] = ()
    draining: bool = False
    load: float = 0.0
    store_pause_s: float = 0.0
    seen: tuple[MemberAge, ...] = ()
    claims: tuple[ShardClaim, ...] = ()


@attrs.frozen(kw_only=True)
class HeartbeatReply:
    """Answer to a heartbeat, with the same content about the receiver."""

    heartbeat: Heartbeat


@attrs.frozen(kw_only=True)
class MemberView:
    """What one process knows about a member.

    Parameters
    ----------
    live : bool
        Whether the member was heard from within the suspicion time.
    """

    name: str
    data_centre: str
    incarnation: int
    revision: int
    live: bool
    draining: bool
    led: tuple[LedShard, ...] = ()
    load: float = 0.0


@attrs.frozen(kw_only=True)
class DataCentreSummary:
    """Summary that the delegate of a data centre sends to other delegates."""

    sender: str
    incarnation: int
    hlc: HybridTime
    data_centre: str
    revision: int
    members: tuple[MemberView, ...]
    store_pause_s: float = 0.0


@attrs.frozen(kw_only=True)
class DrainNotice:
    """Endpoints of a shard that are leaving and get no new work."""

    sender: str
    shard: str
    epoch: int
    endpoints: tuple[str, ...]


@attrs.frozen(kw_only=True)
class LeaderHandover:
    """Notice that the leader has released a shard and the receiver should lead."""

    sender: str
    shard: str
    epoch: int
