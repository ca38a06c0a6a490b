"""HTTP interface for callers and operators."""

from wasabipaddle.api.editor import DocumentEditor, DocumentView

__all__ = ["DocumentEditor", "DocumentView"]
