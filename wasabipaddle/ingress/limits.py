"""Limits on what clients may hold, derived from the settings of a process."""

import attrs

__all__ = ["IngressLimits", "RequestLimits", "derive_limits"]

BYTES_PER_MB = 1_000_000
# Memory and descriptors of a process whose settings name none.
DEFAULT_MEMORY_MB = 300
DEFAULT_DESCRIPTORS = 4_096
# Descriptors that are kept for files.
FILE_DESCRIPTORS = 200
# Parts of the memory for the contents of requests, and for their connections.
CONTENT_SHARE = 1 / 8
CONNECTION_SHARE = 1 / 6
# Part of the sockets for clients. The rest is for the calls of the process itself: to
# the store, to other processes and to runners.
CLIENT_SHARE = 5 / 8
# Memory of an open connection, with the content that needs no reservation.
CONNECTION_BYTES = 24_000
FREE_CONTENT_BYTES = 8_000
# Parts of the connections for each listener.
LISTENER_SHARES = {
    "callers": 1 / 2,
    "internal": 3 / 8,
    "readiness": 1 / 16,
    "metrics": 1 / 16,
}
MIN_CONNECTIONS = 8


@attrs.frozen(kw_only=True)
class RequestLimits:
    """Limits on one request.

    Parameters
    ----------
    max_head_bytes, max_body_bytes : int
        Largest head, with the empty lines before it, and largest body.
    header_s : float
        Time from the first byte of a head to its end; 0 for no limit.
    idle_s : float
        Longest pause within a body, and longest time for which a client may leave a
        reply unread; 0 for no limit.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_s: float = 3.0
    idle_s: float = 15.0


@attrs.frozen(kw_only=True)
class IngressLimits:
    """Limits on what all clients of a process hold together.

    Parameters
    ----------
    content_bytes : int
        Memory for heads and bodies, beyond `free_content_bytes` of each connection.
    free_content_bytes : int
        Memory for head and body of a connection that needs no reservation.
    connections : dict of str to int
        Largest number of open connections by listener.
    """

    content_bytes: int
    free_content_bytes: int = FREE_CONTENT_BYTES
    connections: dict[str, int] = attrs.field(factory=dict)


def derive_limits(*, memory_mb=0, descriptors=0) -> IngressLimits:
    """Return the limits of a process.

    Parameters
    ----------
    memory_mb, descriptors : int
        Memory and file descriptors of the process; 0 if they are not known.
    """
    memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
    sockets = max((descriptors or DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS, 0)
    total = min(
        sockets * CLIENT_SHARE, memory_bytes * CONNECTION_SHARE / CONNECTION_BYTES
    )
    return IngressLimits(
        content_bytes=int(memory_bytes * CONTENT_SHARE),
        connections={
            name: max(int(total * share), MIN_CONNECTIONS)
            for name, share in LISTENER_SHARES.items()
        },
    )
