"""What an election needs to know about the other members."""

import abc

__all__ = ["Candidacy"]


class Candidacy(abc.ABC):
    """View of the members of the own data centre for one process."""

    @abc.abstractmethod
    def rank(self, shard) -> int | None:
        """Return the position among the candidates, None for no candidate."""

    @abc.abstractmethod
    def silence_s(self, name, incarnation) -> float:
        """Return the time since a process was heard from under an incarnation."""

    @abc.abstractmethod
    def has_stopped(self, name, incarnation, shard, epoch) -> bool:
        """Return whether a process is proven not to lead a shard below `epoch`.

        Proof is its own answer, a higher incarnation of it, or the platform's list
        saying that its VM is gone.
        """
