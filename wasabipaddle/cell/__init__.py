"""Process of a cell: serves callers, and dispatches jobs while it is the leader."""

from wasabipaddle.cell.process import serve_cell

__all__ = ["serve_cell"]
