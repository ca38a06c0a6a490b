"""Bounds on what the clients of a listener may hold of the process."""

from wasabipaddle.ingress.body import read_body
from wasabipaddle.ingress.ledger import ConnectionUsage, Ledger, Phase
from wasabipaddle.ingress.limits import IngressLimits, RequestLimits, derive_limits
from wasabipaddle.ingress.listener import Ingress, IngressListener
from wasabipaddle.ingress.protocol import Connection
from wasabipaddle.ingress.replies import ListenerProfile, failure_response

__all__ = [
    "Connection",
    "ListenerProfile",
    "ConnectionUsage",
    "Ingress",
    "IngressLimits",
    "IngressListener",
    "Ledger",
    "Phase",
    "RequestLimits",
    "derive_limits",
    "failure_response",
    "read_body",
]
