"""Process of a cell on the users' platform: callers, election and dispatcher."""

from wasabipaddle.cell.process import serve_cell

__all__ = ["serve_cell"]
