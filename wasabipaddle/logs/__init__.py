"""Structured log lines that never block, and the history of a job from them."""

from wasabipaddle.logs.explain import LogLine, explain, read_lines
from wasabipaddle.logs.journal import Journal

__all__ = ["Journal", "LogLine", "explain", "read_lines"]
