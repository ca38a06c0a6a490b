"""Slot grants from a shard leader to entry processes."""

import attrs

__all__ = ["Grant", "GrantReply", "GrantRequest", "PoolDemand"]


@attrs.frozen(kw_only=True)
class PoolDemand:
    """Demand of one entry process for one endpoint pool.

    Parameters
    ----------
    in_progress : int
        Requests that hold a slot.
    queued : int
        Requests that wait for one.
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
        Slots of each endpoint that requests in progress occupy, whatever grant they
        started under; the leader never grants these to anybody else.
    sequence : int
        Number of the request, which increases within one incarnation.
    applied : int
        Number of the latest request whose reply is in force, 0 for none.
    held : tuple of Grant
        Grants in force with their remaining life, sent after a partial reply.
    epoch : int
        Highest epoch that the sender knows; it refuses replies of a lower one.
    draining : bool
        The sender takes no new requests and needs slots only for those it has.
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
    """Right to use some slots of one endpoint.

    Parameters
    ----------
    slots : int
        Largest number of requests in progress of the holder at the endpoint.
    life_s : float
        Remaining life in seconds, counted by the holder from the sending time of
        its request.
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
    """All grants of the sender, which replace its earlier ones.

    Parameters
    ----------
    sequence : int
        Number of the request that is answered.
    unchanged : bool
        The grants of the `applied` request are renewed for `life_s`; `grants` is
        empty then.
    partial : bool
        The leader is new and waits for grants of the earlier one to expire. Grants
        that the receiver holds stay in force beside these until they expire.
    leaving : tuple of str
        Endpoints that get no new work, whatever grant names them.
    """

    shard: str
    epoch: int
    grants: tuple[Grant, ...]
    sequence: int = 0
    unchanged: bool = False
    partial: bool = False
    life_s: float = 0.0
    leaving: tuple[str, ...] = ()
