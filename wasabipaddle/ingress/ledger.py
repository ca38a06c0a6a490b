"""Decides who may connect and what connections may hold, without a network."""

import collections
import enum
import math

import attrs

from wasabipaddle.ingress.limits import RequestLimits

__all__ = ["ConnectionUsage", "Ledger", "Phase"]

# Rate below which a client counts as stalled once others need what it holds.
MIN_BYTES_PER_S = 65_536
# Time behind that rate, and time without a request, after which a connection may be
# evicted.
STALL_S = 0.5
IDLE_S = 1.0
# Longest time from the first to the last byte of a body, also of one that progresses.
BODY_S = 60.0
# Time for which a refused client may go on sending, so that it reads the reply.
LINGER_S = 2.0
# Most connections that are evicted for a new one; a margin that spares further scans.
MAX_EVICTED = 8
# Pause after a scan that found no connection to evict.
SCAN_PAUSE_S = 0.1


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    SERVING = "serving"
    REFUSED = "refused"


# Order of eviction. A connection whose request is being served is evicted only if its
# client does not read the replies.
EVICTION_RANKS = {
    Phase.REFUSED: 0,
    Phase.BODY: 1,
    Phase.HEAD: 1,
    Phase.SERVING: 1,
    Phase.IDLE: 2,
}
EVICTION_DELAYS_S = {
    Phase.REFUSED: 0.0,
    Phase.BODY: STALL_S,
    Phase.HEAD: STALL_S,
    Phase.IDLE: IDLE_S,
}


@attrs.define(kw_only=True, eq=False)
class ConnectionUsage:
    """What one connection holds.

    Parameters
    ----------
    connection : object
        The connection, which the decisions only pass on.
    listener : str
        Name of its listener.
    since_s, progress_s : float
        Time at which the phase began, and time of the last bytes in it.
    received : int
        Bytes received in the phase.
    reserved : int
        Memory reserved for the content of requests, in bytes.
    unread_since_s : float or None
        Time since which the client has not read its replies, None if it reads.
    limits : RequestLimits
        Limits on the current request.
    """

    connection: object
    listener: str
    since_s: float
    progress_s: float = 0.0
    phase: Phase = Phase.IDLE
    received: int = 0
    reserved: int = 0
    unread_since_s: float | None = None
    limits: RequestLimits = attrs.field(factory=RequestLimits)

    @property
    def unread(self) -> bool:
        """Whether the client does not read its replies."""
        return self.unread_since_s is not None

    def enter(self, phase, now_s):
        """Begin a phase."""
        self.phase = phase
        self.since_s = self.progress_s = now_s
        self.received = 0

    def receive(self, count, now_s):
        """Record bytes of the current phase."""
        self.received += count
        self.progress_s = now_s

    def lag_s(self, now_s) -> float:
        """Return by how many seconds the client is behind the lowest rate."""
        return now_s - self.since_s - self.received / MIN_BYTES_PER_S

    def may_be_evicted(self, now_s) -> bool:
        """Return whether others may take what the connection holds."""
        if self.unread:
            return now_s - self.unread_since_s >= STALL_S
        delay_s = EVICTION_DELAYS_S.get(self.phase, math.inf)
        return self.lag_s(now_s) >= delay_s

    def is_overdue(self, now_s) -> bool:
        """Return whether the connection has to be closed, whoever else needs room."""
        age_s = now_s - self.since_s
        limits = self.limits
        if self.unread and now_s - self.unread_since_s > (limits.idle_s or math.inf):
            return True
        if self.phase is Phase.HEAD:
            return age_s > (limits.header_s or math.inf)
        if self.phase is Phase.BODY:
            pause_s = now_s - self.progress_s
            return age_s > BODY_S or pause_s > (limits.idle_s or math.inf)
        return self.phase is Phase.REFUSED and age_s > LINGER_S


class Ledger:
    """Connections of all listeners of a process and the memory that they reserve.

    The load that it answers is a crowd of clients which hold heads, bodies and
    connections without completing a request. Who makes no progress loses first, so
    that ordinary clients get room behind such a crowd.

    Parameters
    ----------
    limits : IngressLimits
        Limits on all connections together.

    Attributes
    ----------
    reserved : int
        Reserved memory of all connections, in bytes.
    connections : dict of str to int
        Largest number of open connections by listener.
    """

    def __init__(self, *, limits):
        self.limits = limits
        self.usages = set()
        self.counts = collections.Counter()
        self.reserved = 0
        self.next_scan_s = {}
        self.connections = dict(limits.connections)

    def limit_connections(self, listener, number):
        """Set the largest number of connections of a listener."""
        self.connections[listener] = number

    def admit(self, listener, now_s):
        """Decide on a new connection.

        Returns
        -------
        list of ConnectionUsage or None
            Connections to evict for it, in most cases none; None if it is refused.
        """
        if self.counts[listener] < self.connections.get(listener, math.inf):
            return []
        if now_s < self.next_scan_s.get(listener, -math.inf):
            return None
        evicted = self._find_stalled(now_s, lambda h: h.listener == listener)
        if not evicted:
            self.next_scan_s[listener] = now_s + SCAN_PAUSE_S
            return None
        return evicted[:MAX_EVICTED]

    def add(self, usage):
        """Record a connection; one that is known is counted once."""
        if usage not in self.usages:
            self.usages.add(usage)
            self.counts[usage.listener] += 1

    def remove(self, usage):
        """Forget a connection that is closed."""
        if usage in self.usages:
            self.release(usage)
            self.usages.discard(usage)
            self.counts[usage.listener] -= 1

    def reserve(self, usage, cost, now_s):
        """Set the reservation of a connection.

        A connection that is the only one with a reservation gets any size: a single
        request within its own limits is served.

        Parameters
        ----------
        cost : int
            Memory that the content of its requests needs, in bytes.

        Returns
        -------
        list of ConnectionUsage or None
            Connections that have lost their reservation to it, in most cases none;
            None if it gets no reservation.
        """
        wanted = max(cost - self.limits.free_content_bytes, 0)
        missing = self.reserved - usage.reserved + wanted - self.limits.content_bytes
        evicted = []
        grows = wanted > usage.reserved
        alone = usage.reserved == self.reserved
        if missing > 0 and grows and not alone:
            evicted = self._find_reserved(usage, missing, now_s)
            if evicted is None:
                return None
        self.reserved += wanted - usage.reserved
        usage.reserved = wanted
        return evicted

    def release(self, usage):
        """Drop the reservation of a connection."""
        self.reserved -= usage.reserved
        usage.reserved = 0

    def find_overdue(self, now_s):
        """Return the connections that have exceeded a time limit."""
        return [h for h in self.usages if h.is_overdue(now_s)]

    def _find_reserved(self, usage, missing, now_s):
        """Release stalled reservations of `missing` bytes; None if there are fewer.

        All others together are enough in any case, as the connection is then alone.
        """
        if now_s < self.next_scan_s.get(None, -math.inf):
            return None
        evicted = []
        others = self.reserved - usage.reserved
        for other in self._find_stalled(now_s, lambda h: h.reserved > 0):
            if missing <= 0:
                break
            if other is not usage:
                missing -= other.reserved
                others -= other.reserved
                evicted.append(other)
        if missing > 0 and others:
            self.next_scan_s[None] = now_s + SCAN_PAUSE_S
            return None
        for other in evicted:
            self.release(other)
        return evicted

    def _find_stalled(self, now_s, condition):
        """Return the connections that may be evicted, the first ones first."""
        found = [h for h in self.usages if condition(h) and h.may_be_evicted(now_s)]
        found.sort(key=lambda h: (EVICTION_RANKS[h.phase], -h.lag_s(now_s)))
        return found
