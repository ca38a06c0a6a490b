"""Authentication of operators and callers by bearer token."""

import hashlib
import hmac
import ipaddress

import attrs

from wasabipaddle.api.responses import fail
from wasabipaddle.exceptions import ErrorKind

__all__ = ["Authenticator", "Operator"]

SCHEME = "bearer"


@attrs.frozen(kw_only=True)
class Operator:
    """The authenticated operator of a call.

    Parameters
    ----------
    team : str or None
        Team that the token belongs to. In a cell without tokens it is None, and the
        operator may act for every team.
    """

    team: str | None

    def check(self, team):
        """Raise `forbidden` unless the operator may act for `team`."""
        if self.team not in (None, team):
            detail = f"team {self.team} may not act for team {team}"
            fail(ErrorKind.FORBIDDEN, detail)


class Authenticator:
    """Identifies the operator or caller of a call by its bearer token.

    Parameters
    ----------
    settings : ApiSettings
        Tokens of operators and callers.
    """

    def __init__(self, *, settings):
        self.teams = [(t.team, _digest(t.token)) for t in settings.tokens]
        self.callers = [(c.caller, _digest(c.token)) for c in settings.callers]

    def identify(self, request) -> str:
        """Return the name whose rate limit applies to a call."""
        for prefix, known in (("team", self.teams), ("caller", self.callers)):
            name = _find(request, known)
            if name is not None:
                return f"{prefix}:{name}"
        return f"address:{request.remote}"

    def operator(self, request) -> Operator:
        """Return the operator of a call, or raise `unauthenticated`.

        Without tokens in the settings, every call from a loopback address is accepted.
        """
        if not self.teams:
            if _is_loopback(request.remote):
                return Operator(team=None)
            fail(ErrorKind.UNAUTHENTICATED, "the settings of the cell have no tokens")
        team = _find(request, self.teams)
        if team is None:
            fail(ErrorKind.UNAUTHENTICATED, "the bearer token of a team is required")
        return Operator(team=team)

    def caller(self, request) -> str:
        """Return the caller of a request, or raise `unauthenticated`.

        Without tokens of callers in the settings, the caller is the remote address.
        """
        if not self.callers:
            return str(request.remote)
        caller = _find(request, self.callers)
        if caller is None:
            fail(ErrorKind.UNAUTHENTICATED, "the bearer token of a caller is required")
        return caller


def _find(request, known):
    """Return the name that belongs to the token of a request, or None.

    The token is compared with every known token in constant time, so that the response
    time reveals nothing about the known tokens.
    """
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != SCHEME or not token:
        return None
    digest = _digest(token.strip())
    found = None
    for name, expected in known:
        if hmac.compare_digest(digest, expected):
            found = name
    return found


def _digest(token):
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).digest()


def _is_loopback(remote):
    try:
        return ipaddress.ip_address(remote or "").is_loopback
    except ValueError:
        return False
