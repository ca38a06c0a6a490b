"""Messages about membership and shard leadership."""

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
        Start time of the process, in Unix milliseconds.
    revision : int
        Highest document revision that the sender has applied.
    led : tuple of LedShard
        Shards that the sender leads.
    draining : bool
        Whether the sender is shutting down.
    load : float
        Number of requests in progress, relative to the slots held.
    store_pause_s : float
        Remaining pause of store calls after a throttled call; 0 if they are not paused.
    seen : dict of str to tuple of int and float
        Bounded sample of known members by name: incarnation, and seconds since the
        member was last known to be alive. Names as keys keep the heartbeat short.
    claims : dict of str to tuple of int and str
        Bounded sample of known shard leaders by shard: epoch, and name of the leader.
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
    """Reply to a heartbeat: the heartbeat of the replying member."""

    heartbeat: Heartbeat


@attrs.frozen(kw_only=True)
class MemberView:
    """State of a member as known by one process.

    Parameters
    ----------
    live : bool
        Whether the member was known to be alive within the suspicion time.
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
    """State of a data centre, sent by its delegate to those of other data centres."""

    sender: str
    incarnation: int
    hlc: HybridTime
    data_centre: str
    revision: int
    members: tuple[MemberView, ...]
    store_pause_s: float = 0.0


@attrs.frozen(kw_only=True)
class DrainNotice:
    """Notice that endpoints of a shard are leaving and get no new requests."""

    sender: str
    shard: str
    epoch: int
    endpoints: tuple[str, ...]


@attrs.frozen(kw_only=True)
class LeaderHandover:
    """Notice that the sender has released a shard, which the receiver should lead."""

    sender: str
    shard: str
    epoch: int
