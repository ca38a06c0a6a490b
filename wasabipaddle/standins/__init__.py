"""Simulated platform services, workers and endpoints for tests and demos."""

from wasabipaddle.standins.answers import AnswerDamage
from wasabipaddle.standins.endpoint import EndpointFaults, MemoryEndpoint
from wasabipaddle.standins.endpoint_client import MemoryEndpointClient
from wasabipaddle.standins.ledger import (
    CutOff,
    CutOffCause,
    Discard,
    Execution,
    Ledger,
    LedgerRecord,
    WorkKind,
    merge_records,
)
from wasabipaddle.standins.link import (
    Link,
    LinkConnection,
    LinkedStore,
    LinkedVmList,
    LinkedWorker,
)
from wasabipaddle.standins.payloads import RequestPayload, TaskPayload
from wasabipaddle.standins.store import (
    MemoryStore,
    MemoryStoreClient,
    SecondCount,
    StoreAllowance,
    StoreFaults,
)
from wasabipaddle.standins.verdict import Verdict, compute_verdict
from wasabipaddle.standins.vms import MemoryVmList, VmListFaults
from wasabipaddle.standins.worker import MemoryWorker, MemoryWorkerClient, WorkerFaults

__all__ = [
    "AnswerDamage",
    "CutOff",
    "CutOffCause",
    "Discard",
    "EndpointFaults",
    "MemoryEndpointClient",
    "Execution",
    "Ledger",
    "LedgerRecord",
    "Link",
    "LinkConnection",
    "LinkedStore",
    "LinkedVmList",
    "LinkedWorker",
    "MemoryEndpoint",
    "MemoryStore",
    "MemoryVmList",
    "MemoryWorker",
    "MemoryWorkerClient",
    "RequestPayload",
    "SecondCount",
    "StoreAllowance",
    "StoreFaults",
    "MemoryStoreClient",
    "TaskPayload",
    "Verdict",
    "VmListFaults",
    "WorkKind",
    "WorkerFaults",
    "compute_verdict",
    "merge_records",
]
