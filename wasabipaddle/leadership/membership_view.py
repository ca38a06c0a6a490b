"""Membership information that an election depends on."""

import abc

__all__ = ["MembershipView"]


class MembershipView(abc.ABC):
    """View that one process has of the members of its data centre."""

    @abc.abstractmethod
    def rank(self, shard) -> int | None:
        """Return the position of this process among the candidates for a shard.

        The first position is 0; None means that this process is not a candidate.
        """

    @abc.abstractmethod
    def silence_s(self, name, incarnation) -> float:
        """Return the time since a process was last heard from in an incarnation."""

    @abc.abstractmethod
    def has_stopped(self, name, incarnation, shard, epoch) -> bool:
        """Return whether a process is proven not to lead a shard under a lower epoch.

        The proof is an acknowledgement of `epoch` by that process, a higher incarnation
        of it, or its VM being marked as gone in the platform's VM list.
        """
