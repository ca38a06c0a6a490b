"""Interface to the service that decides which runners are eligible for a step."""

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
        Ticket by eligible runner; orders to start the step on it contain the ticket.
    valid_s : float
        How long the tickets are valid, 0 if the service does not state it.
    """

    tickets: dict[str, str]
    valid_s: float = 0.0


class AdviceClient(abc.ABC):
    """Client of the eligibility service."""

    @abc.abstractmethod
    async def ask(
        self, *, job, occurrence, step, runners, timeout_s
    ) -> Result[Advice, Failure]:
        """Ask which of the given runners may run a step."""

    async def close(self):
        """Close the connections."""
