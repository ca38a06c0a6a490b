"""Process of a cell: serves callers, takes part in the election and dispatches."""

from wasabipaddle.cell.process import serve_cell

__all__ = ["serve_cell"]
