"""Interface to the service that decides which runners may run a step."""

import abc

import attrs
from result import Result

from wasabipaddle.exceptions import Failure

__all__ = ["Advice", "AdviceClient"]


@attrs.frozen(kw_only=True)
class Advice:
    """Eligible runners of a step.

    Parameters
    ----------
    tickets : dict of str to str
        Ticket by runner.
    valid_s : float
        How long the tickets hold, 0 if the answer does not tell it.
    """

    tickets: dict[str, str]
    valid_s: float = 0.0


class AdviceClient(abc.ABC):
    """Client of the eligibility service."""

    @abc.abstractmethod
    async def ask(
        self, *, job, occurrence, step, runners, timeout_s
    ) -> Result[Advice, Failure]:
        """Ask which of the named runners may run a step."""

    async def close(self):
        """Close connections."""
