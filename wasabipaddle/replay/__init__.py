"""Replay of traces and the check of their expected outcomes."""

from wasabipaddle.replay.outcomes import Broken, check_outcomes
from wasabipaddle.replay.player import Figures, play
from wasabipaddle.replay.trace import Trace, load_trace

__all__ = ["Broken", "Figures", "Trace", "check_outcomes", "load_trace", "play"]
