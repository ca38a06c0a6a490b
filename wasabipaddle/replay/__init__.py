"""Replay of traces and the check of their expected outcomes."""

from wasabipaddle.replay.outcomes import BrokenOutcome, check_outcomes
from wasabipaddle.replay.replayer import Figures, replay_trace
from wasabipaddle.replay.trace import Trace, load_trace

__all__ = [
    "BrokenOutcome",
    "Figures",
    "Trace",
    "check_outcomes",
    "load_trace",
    "replay_trace",
]
