"""Command-line interface."""

from wasabipaddle.commands.program import main

__all__ = ["main"]
