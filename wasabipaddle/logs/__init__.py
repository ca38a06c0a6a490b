"""Structured log that never blocks, and the history of a job from its lines."""

from wasabipaddle.logs.explain import LogLine, explain, read_lines
from wasabipaddle.logs.structured_log import StructuredLog

__all__ = ["StructuredLog", "LogLine", "explain", "read_lines"]
