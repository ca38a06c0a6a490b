"""Scheduling decisions of the dispatcher: where tasks run and when jobs have ended.

The classes are synchronous, do no I/O and take the current time as an argument. Names
ending in `_s` hold durations or points in time in seconds; the points in time are on
the monotonic clock of that argument.
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
