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
    "MemberView",
]


@attrs.frozen(kw_only=True)
class LedShard:
    """A shard that the sender leads."""

    shard: str
    epoch: int


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
    seen : dict of str to tuple of int and float
        Bounded sample of known members: incarnation, and seconds since the last sign
        of life. Names as keys keep the heartbeat short.
    claims : dict of str to tuple of int and str
        Bounded sample of known shard leaders: epoch and leader by shard.
    """

    sender: str
    incarnation: int
    hlc: HybridTime
    revision: int
    led: tuple[LedShard, ...] = ()
    draining: bool = False
    load: float = 0.0
    store_pause_s: float = 0.0
    seen: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    claims: dict[str, tuple[int, str]] = attrs.field(factory=dict)


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
