"""Command-line interface."""

from wasabipaddle.commands.cli import main

__all__ = ["main"]
