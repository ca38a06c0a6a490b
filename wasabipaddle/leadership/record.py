"""Leader record of a shard, as it is kept in the store."""

import attrs

from wasabipaddle.messages import decode

__all__ = ["EarlierLeader", "LeaderRecord", "decode_leader_record", "leader_key"]


@attrs.frozen(kw_only=True)
class EarlierLeader:
    """An earlier leader that may still renew leases on workers."""

    leader: str
    incarnation: int


@attrs.frozen(kw_only=True)
class LeaderRecord:
    """Value of `shards/{shard}/leader`.

    Parameters
    ----------
    epoch : int
        Fencing token of the leader, higher than that of every earlier leader.
    renewal : int
        Number of renewals in this epoch; makes each written value differ from the
        previous one.
    released : bool
        Whether the leader gave up the shard. It sends no command after that.
    unproven : tuple of EarlierLeader
        Earlier leaders that were not proven to have stopped when they were replaced
        and whose tasks have not all been accounted for since.
    """

    leader: str
    incarnation: int
    epoch: int
    renewal: int = 0
    released: bool = False
    unproven: tuple[EarlierLeader, ...] = ()

    def is_same_term(self, other) -> bool:
        """Return whether both records name the same leader, incarnation and epoch."""
        return (self.leader, self.incarnation, self.epoch) == (
            other.leader,
            other.incarnation,
            other.epoch,
        )


def decode_leader_record(entry) -> LeaderRecord:
    """Return the leader record in an entry of the store.

    A value that cannot be decoded gives the record of a leader without a name, which
    was not heard from and may renew leases. Its epoch is the revision of the entry: an
    acquisition raises the epoch by one and the revision by at least one, so that no
    earlier epoch is above the revision.
    """
    unknown = LeaderRecord(leader="", incarnation=0, epoch=entry.revision)
    return decode(entry.value, LeaderRecord).unwrap_or(unknown)


def leader_key(shard) -> str:
    """Return the store key of the leader record of a shard."""
    return f"shards/{shard}/leader"
