"""Clocks, timers, virtual time and hybrid logical time."""

from wasabipaddle.clock.cancellation import cancel_and_wait
from wasabipaddle.clock.clocks import Clock, LoopClock, ManualClock
from wasabipaddle.clock.hybrid import HybridClock, HybridTime
from wasabipaddle.clock.timers import TimerService
from wasabipaddle.clock.virtual import (
    VirtualTimeLoop,
    cancel_leftover_tasks,
    process_context,
    run_virtual,
)

__all__ = [
    "Clock",
    "HybridClock",
    "HybridTime",
    "LoopClock",
    "ManualClock",
    "TimerService",
    "VirtualTimeLoop",
    "cancel_and_wait",
    "cancel_leftover_tasks",
    "process_context",
    "run_virtual",
]
