"""Abstract interfaces to the platform and to endpoints."""

from wasabipaddle.platform.endpoint import (
    AnswerChunks,
    EndpointAnswer,
    EndpointClient,
    EndpointRequest,
    RequestState,
)
from wasabipaddle.platform.gate import GatedStore, StoreGate
from wasabipaddle.platform.store import Change, Entry, Page, Store
from wasabipaddle.platform.vms import VmEntry, VmList, VmRole, VmStatus
from wasabipaddle.platform.worker import (
    TaskOrder,
    TaskOutcome,
    TaskPhase,
    TaskRefusal,
    TaskReport,
    TaskResize,
    TaskStart,
    Usage,
    WorkerClient,
    WorkerReport,
    WorkerSync,
)

__all__ = [
    "AnswerChunks",
    "Change",
    "EndpointAnswer",
    "EndpointClient",
    "EndpointRequest",
    "Entry",
    "Page",
    "RequestState",
    "Store",
    "StoreGate",
    "GatedStore",
    "TaskOrder",
    "TaskOutcome",
    "TaskPhase",
    "TaskRefusal",
    "TaskReport",
    "TaskResize",
    "TaskStart",
    "Usage",
    "VmEntry",
    "VmList",
    "VmRole",
    "VmStatus",
    "WorkerClient",
    "WorkerReport",
    "WorkerSync",
]
