"""Answers of the eligibility service on which runners may run a step."""

import attrs

__all__ = ["Eligibility", "KnownAnswers", "Ticket"]

# Safety margin before the expiry of a ticket, for the transit of a start order.
TICKET_MARGIN_S = 0.15


@attrs.frozen(kw_only=True)
class Ticket:
    """Permission to run a step on one incarnation of a runner.

    Parameters
    ----------
    token : str
        Text to present to the runner.
    expires_s : float
        Time from which the ticket is no longer used.
    incarnation : int
        Incarnation of the runner that the ticket is for.
    """

    token: str
    expires_s: float
    incarnation: int


@attrs.define(kw_only=True, eq=False)
class KnownAnswers:
    """What the answers for a step say about the runners of some time.

    Parameters
    ----------
    key : tuple
        Versions of the runners and of the answers.
    eligible : list of RunnerState
        Candidates that are eligible, even with an expired ticket.
    all_asked : bool
        Whether an answer is known for all candidates of sufficient size.
    """

    key: tuple
    eligible: list
    all_asked: bool = False


@attrs.define(kw_only=True, eq=False)
class Eligibility:
    """Answers of the eligibility service for one step.

    Whether an incarnation of a runner is eligible never changes, but its ticket
    expires and has to be renewed.

    Parameters
    ----------
    tickets : dict of str to Ticket
        Latest ticket by runner identifier.
    ineligible : dict of str to int
        Incarnation of each runner that may not run the step, by runner identifier.
    requested_s : float or None
        Time at which the pending request was made, None if no request is pending.
    retry_s : float
        Earliest time of the next request.
    last_expiry_s : float
        Latest expiry of any ticket received.
    version : int
        Grows whenever answers arrive or a ticket is discarded.
    known : KnownAnswers or None
        What the answers say about the present runners, as last computed.
    """

    tickets: dict = attrs.field(factory=dict)
    ineligible: dict = attrs.field(factory=dict)
    requested_s: float | None = None
    retry_s: float = 0.0
    last_expiry_s: float = 0.0
    version: int = 0
    known: KnownAnswers | None = None

    def ticket(self, runner, now) -> str | None:
        """Return the ticket text for `runner`, None if no ticket is valid at `now`."""
        ticket = self.tickets.get(runner.id)
        if ticket is None or ticket.incarnation != runner.incarnation:
            return None
        return ticket.token if now < ticket.expires_s else None

    def is_eligible(self, runner) -> bool:
        """Return whether the runner may run the step, even with an expired ticket."""
        ticket = self.tickets.get(runner.id)
        return ticket is not None and ticket.incarnation == runner.incarnation

    def is_ineligible(self, runner) -> bool:
        """Return whether the service has ruled the runner out for the step."""
        return self.ineligible.get(runner.id) == runner.incarnation

    def record_answer(self, runners, advice, valid_s, now):
        """Record the answer for the named runners.

        Runners without a ticket in the answer are ineligible.

        Parameters
        ----------
        runners : list of RunnerState
            Runners that the request named.
        advice : dict of str to str
            Text of the ticket by runner identifier.
        valid_s : float
            Validity of the tickets in seconds.
        """
        self.requested_s = None
        self.version += 1
        expires_s = now + max(valid_s - TICKET_MARGIN_S, 0.0)
        for runner in runners:
            token = advice.get(runner.id)
            if token is None:
                self.ineligible[runner.id] = runner.incarnation
            else:
                self.ineligible.pop(runner.id, None)
                self.last_expiry_s = max(self.last_expiry_s, expires_s)
                self.tickets[runner.id] = Ticket(
                    token=token, expires_s=expires_s, incarnation=runner.incarnation
                )

    def record_failure(self, now, pause_s):
        """Record that a request got no answer, and pause requests for `pause_s`."""
        self.requested_s = None
        self.retry_s = now + pause_s

    def discard_ticket(self, runner_id):
        """Remove a ticket that the runner has refused."""
        self.version += 1
        self.tickets.pop(runner_id, None)
