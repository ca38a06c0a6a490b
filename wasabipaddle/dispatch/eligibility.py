"""Which runners an outside service lets run a step."""

import attrs

__all__ = ["Eligibility", "Ticket"]

# Part of the validity that a start may need on its way to the runner.
TICKET_MARGIN_S = 0.15


@attrs.frozen(kw_only=True)
class Ticket:
    """Permission for one life of a runner."""

    text: str
    expires_s: float
    incarnation: int


@attrs.define(kw_only=True, eq=False)
class Eligibility:
    """Answers of the service on one step.

    The answer for a runner never changes, but a ticket expires.

    Parameters
    ----------
    tickets : dict of str to Ticket
        Latest ticket by runner.
    refused : dict of str to int
        Incarnation of each runner that may not run the step.
    asked_s : float or None
        Time of the request in progress.
    retry_s : float
        Earliest time of the next request.
    latest_s : float
        Time at which the last ticket expires.
    """

    tickets: dict = attrs.field(factory=dict)
    refused: dict = attrs.field(factory=dict)
    asked_s: float | None = None
    retry_s: float = 0.0
    latest_s: float = 0.0

    def ticket(self, runner, now) -> str | None:
        """Return a ticket that is still valid on `runner`."""
        ticket = self.tickets.get(runner.id)
        if ticket is None or ticket.incarnation != runner.incarnation:
            return None
        return ticket.text if now < ticket.expires_s else None

    def known_good(self, runner) -> bool:
        """Return whether the runner may run the step, with or without a ticket."""
        ticket = self.tickets.get(runner.id)
        return ticket is not None and ticket.incarnation == runner.incarnation

    def known_refused(self, runner) -> bool:
        """Return whether the runner may not run the step."""
        return self.refused.get(runner.id) == runner.incarnation

    def answer(self, runners, advice, valid_s, now):
        """Take the answer for the named runners.

        Parameters
        ----------
        runners : list of RunnerState
            Runners that the request named.
        advice : dict of str to str
            Tickets by runner.
        valid_s : float
            How long the tickets hold.
        """
        self.asked_s = None
        expires_s = now + max(valid_s - TICKET_MARGIN_S, 0.0)
        for runner in runners:
            text = advice.get(runner.id)
            if text is None:
                self.refused[runner.id] = runner.incarnation
            else:
                self.refused.pop(runner.id, None)
                self.latest_s = max(self.latest_s, expires_s)
                self.tickets[runner.id] = Ticket(
                    text=text, expires_s=expires_s, incarnation=runner.incarnation
                )

    def failed(self, now, pause_s):
        """Note a request without an answer."""
        self.asked_s = None
        self.retry_s = now + pause_s

    def forget(self, runner_id):
        """Drop the ticket of a runner, which refused it."""
        self.tickets.pop(runner_id, None)
