"""Request routing: slot grants, dispatch, retries, answer checks and forwarding."""

from wasabipaddle.routing.allocation import divide_slots, spread_slots
from wasabipaddle.routing.breaker import BreakerState, CircuitBreaker
from wasabipaddle.routing.budget import RetryBudget, backoff_s
from wasabipaddle.routing.connections import EndpointConnections
from wasabipaddle.routing.dispatcher import Dispatcher
from wasabipaddle.routing.grants import EndpointSlots, GrantTable
from wasabipaddle.routing.holder import GrantHolder, HeldEndpoint, Slot
from wasabipaddle.routing.spill import SpillPolicy

__all__ = [
    "BreakerState",
    "CircuitBreaker",
    "Dispatcher",
    "EndpointConnections",
    "EndpointSlots",
    "GrantHolder",
    "GrantTable",
    "HeldEndpoint",
    "RetryBudget",
    "Slot",
    "SpillPolicy",
    "backoff_s",
    "divide_slots",
    "spread_slots",
]
