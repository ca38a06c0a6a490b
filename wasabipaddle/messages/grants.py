"""Messages by which a shard leader grants endpoint slots to entry processes."""

import attrs

__all__ = ["Grant", "GrantReply", "GrantRequest", "PoolDemand"]


@attrs.frozen(kw_only=True)
class PoolDemand:
    """Demand of one entry process for one endpoint pool.

    Parameters
    ----------
    in_progress : int
        Number of requests that hold a slot.
    queued : int
        Number of requests that wait for a slot.
    """

    pool: str
    in_progress: int = 0
    queued: int = 0


@attrs.frozen(kw_only=True)
class GrantRequest:
    """Request for slots of the endpoints of a shard.

    Parameters
    ----------
    in_use : tuple of Grant
        One entry for each endpoint with requests in progress; its `slots` is their
        number, and its `life_s` is negative if the grant has expired. The leader
        grants these slots to no other process.
    sequence : int
        Number of the request; increases within an incarnation.
    applied : int
        Number of the latest request whose reply the sender has applied; 0 if none.
    held : tuple of Grant
        Unexpired grants with their remaining validity, sent in the first request and
        after a partial reply.
    epoch : int
        Highest epoch that the sender knows; it ignores replies of a lower one.
    draining : bool
        Whether the sender takes no new requests, and needs slots only for
        those that it has accepted.
    """

    sender: str
    incarnation: int
    shard: str
    demand: tuple[PoolDemand, ...]
    in_use: tuple["Grant", ...] = ()
    sequence: int = 0
    applied: int = 0
    held: tuple["Grant", ...] = ()
    epoch: int = 0
    draining: bool = False


@attrs.frozen(kw_only=True)
class Grant:
    """Right to use a number of slots of one endpoint.

    Parameters
    ----------
    slots : int
        Largest number of requests that the holder may have in progress there.
    connections : int
        Largest number of connections that the holder may open to the endpoint.
    life_s : float
        Remaining validity in seconds when the request was sent; in a reply the
        `life_s` of the reply applies.
    """

    endpoint: str
    pool: str
    host: str
    port: int
    slots: int
    connections: int
    life_s: float


@attrs.frozen(kw_only=True)
class GrantReply:
    """Reply to a grant request: all grants of its sender, replacing the earlier ones.

    Parameters
    ----------
    sequence : int
        Number of the request that is answered.
    unchanged : bool
        Whether the grants that were the reply to request `applied` are renewed for
        `life_s`; `grants` is empty then.
    partial : bool
        Whether the leader is new and waits for the grants of its predecessor to
        expire. The receiver then keeps its earlier grants until they expire. For
        an endpoint that `grants` names too, the larger number of usable slots applies.
    life_s : float
        Validity in seconds of all grants of the reply, counted from the time at which
        the request was sent.
    leaving : tuple of str
        Endpoints that get no new requests, even if a grant names them.
    """

    shard: str
    epoch: int
    grants: tuple[Grant, ...]
    sequence: int = 0
    unchanged: bool = False
    partial: bool = False
    life_s: float = 0.0
    leaving: tuple[str, ...] = ()
