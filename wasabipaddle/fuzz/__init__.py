"""Stateful fuzzing of an in-memory cell, whose invariants an oracle checks."""

from wasabipaddle.fuzz.history import (
    Edit,
    History,
    ReachableInterval,
    Request,
    SubmittedRun,
)
from wasabipaddle.fuzz.oracle import INVARIANTS, Violation, find_violations

__all__ = [
    "INVARIANTS",
    "Violation",
    "Edit",
    "History",
    "ReachableInterval",
    "Request",
    "SubmittedRun",
    "find_violations",
]
