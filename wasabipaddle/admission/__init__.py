"""Admission control: quotas, fair shares, floors, bounded queues and load shedding."""

from wasabipaddle.admission.base import (
    AdmissionPolicy,
    QueueBounds,
    TakeResult,
    Ticket,
    TicketState,
)
from wasabipaddle.admission.fifo import FifoQueue
from wasabipaddle.admission.ledger import QuotaLedger
from wasabipaddle.admission.queue import FairQueue

__all__ = [
    "AdmissionPolicy",
    "FairQueue",
    "FifoQueue",
    "QueueBounds",
    "QuotaLedger",
    "TakeResult",
    "Ticket",
    "TicketState",
]
