"""Stateful fuzzing of an in-memory cell, whose invariants an oracle checks."""

from wasabipaddle.fuzz.history import Edit, History, Reach, Request, SubmittedRun
from wasabipaddle.fuzz.oracle import INVARIANTS, Broken, find_broken

__all__ = [
    "INVARIANTS",
    "Broken",
    "Edit",
    "History",
    "Reach",
    "Request",
    "SubmittedRun",
    "find_broken",
]
