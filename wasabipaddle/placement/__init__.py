"""Placement of tasks on workers: where and when each task runs."""

from wasabipaddle.placement.baseline import (
    DeclaredEstimator,
    FifoQueue,
    baseline_placer,
)
from wasabipaddle.placement.estimation import RunTime, UsageEstimator
from wasabipaddle.placement.fleet import FleetIndex
from wasabipaddle.placement.gangs import GangPolicy, NonReservingGangs, ReservingGangs
from wasabipaddle.placement.placer import Placer
from wasabipaddle.placement.preemption import (
    LeastLossPreemption,
    NoPreemption,
    PreemptionPolicy,
)
from wasabipaddle.placement.quarantine import (
    LikelihoodRatioQuarantine,
    NoQuarantine,
    Quarantine,
    QuarantinePolicy,
)
from wasabipaddle.placement.queue import PendingQueue, PendingRun
from wasabipaddle.placement.running import RunningTask
from wasabipaddle.placement.scoring import (
    BestFitScoring,
    FirstFitScoring,
    ScoringPolicy,
)
from wasabipaddle.placement.shares import ShareLedger
from wasabipaddle.placement.work import (
    Assignment,
    Checkpoint,
    Decision,
    GiveUp,
    Impossible,
    Resize,
    Start,
    Throttle,
    Unthrottle,
    Work,
    run_of,
    task_id,
)

__all__ = [
    "Assignment",
    "BestFitScoring",
    "Checkpoint",
    "LikelihoodRatioQuarantine",
    "Decision",
    "DeclaredEstimator",
    "FifoQueue",
    "FirstFitScoring",
    "FleetIndex",
    "GangPolicy",
    "GiveUp",
    "Impossible",
    "LeastLossPreemption",
    "NoPreemption",
    "NoQuarantine",
    "PendingQueue",
    "PendingRun",
    "Placer",
    "PreemptionPolicy",
    "Quarantine",
    "QuarantinePolicy",
    "Resize",
    "ReservingGangs",
    "RunTime",
    "RunningTask",
    "ScoringPolicy",
    "ShareLedger",
    "Start",
    "Throttle",
    "Unthrottle",
    "UsageEstimator",
    "NonReservingGangs",
    "Work",
    "baseline_placer",
    "run_of",
    "task_id",
]
