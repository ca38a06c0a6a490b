"""Life cycle of runs on the leader of a shard."""

from wasabipaddle.runs.leader import FleetUpdate, ShardLeader
from wasabipaddle.runs.model import Run, Task, TaskState
from wasabipaddle.runs.quotas import ShardQuotas, allowed_shards
from wasabipaddle.runs.recovery import Adoption, LeaseExpiry, RecoveryPolicy
from wasabipaddle.runs.table import RunTable
from wasabipaddle.runs.workers import WorkerSession

__all__ = [
    "Adoption",
    "FleetUpdate",
    "LeaseExpiry",
    "RecoveryPolicy",
    "Run",
    "RunTable",
    "ShardLeader",
    "ShardQuotas",
    "Task",
    "TaskState",
    "WorkerSession",
    "allowed_shards",
]
