"""Leader record of a shard as it is kept in the store."""

import attrs

__all__ = ["EarlierLeader", "LeaderRecord", "leader_key"]


@attrs.frozen(kw_only=True)
class EarlierLeader:
    """A leader that may still renew worker leases."""

    leader: str
    incarnation: int


@attrs.frozen(kw_only=True)
class LeaderRecord:
    """Value of `shards/{shard}/leader`.

    Parameters
    ----------
    epoch : int
        Number of the leadership, higher than that of every earlier one.
    renewal : int
        Number of renewals, which makes each value differ from the one before.
    released : bool
        Whether the leader gave up the shard; it sends no command after that.
    unproven : tuple of EarlierLeader
        Earlier leaders that were not proven to have stopped when they were replaced
        and whose tasks have not been settled since.
    """

    leader: str
    incarnation: int
    epoch: int
    renewal: int = 0
    released: bool = False
    unproven: tuple[EarlierLeader, ...] = ()

    def is_same_term(self, other) -> bool:
        """Return whether both records are of one leader under one epoch."""
        return (self.leader, self.incarnation, self.epoch) == (
            other.leader,
            other.incarnation,
            other.epoch,
        )


def leader_key(shard) -> str:
    """Return the store key of the leader record of a shard."""
    return f"shards/{shard}/leader"
