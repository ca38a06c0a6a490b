"""Decisions of the dispatcher: which task runs where, and what has ended.

All classes here are synchronous and take the time as an argument.
"""

from wasabipaddle.dispatch.model import JobEntry, Run, RunPhase, Step, Task
from wasabipaddle.dispatch.orders import (
    AdviceRequest,
    PaceTask,
    StartOutcome,
    StartTask,
    StopTask,
)
from wasabipaddle.dispatch.scheduler import Scheduler

__all__ = [
    "AdviceRequest",
    "JobEntry",
    "PaceTask",
    "Run",
    "RunPhase",
    "Scheduler",
    "StartOutcome",
    "StartTask",
    "Step",
    "StopTask",
    "Task",
]
