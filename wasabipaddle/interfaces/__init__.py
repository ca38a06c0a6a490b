"""Abstract interfaces to the services of the platform, workers and endpoints."""

from wasabipaddle.interfaces.advice import Advice, AdviceClient
from wasabipaddle.interfaces.endpoint import (
    AnswerChunks,
    EndpointAnswer,
    EndpointClient,
    EndpointRequest,
    RequestState,
)
from wasabipaddle.interfaces.gate import GatedStore, StoreGate
from wasabipaddle.interfaces.runner import (
    EndCause,
    EndedTask,
    Inventory,
    OrderReply,
    Refusal,
    RunnerClient,
    RunningTask,
    StartOrder,
)
from wasabipaddle.interfaces.store import Change, Entry, Page, Store
from wasabipaddle.interfaces.transactions import Put, TransactionalStore, WatchBatch
from wasabipaddle.interfaces.vms import VmEntry, VmList, VmRole, VmStatus
from wasabipaddle.interfaces.worker import (
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
    "Advice",
    "AdviceClient",
    "EndCause",
    "EndedTask",
    "Inventory",
    "OrderReply",
    "Put",
    "Refusal",
    "RunnerClient",
    "RunningTask",
    "StartOrder",
    "TransactionalStore",
    "WatchBatch",
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
