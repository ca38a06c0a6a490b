"""Messages that distribute service documents."""

import attrs

__all__ = ["DocumentRevision", "RevisionPage", "RevisionQuery"]


@attrs.frozen(kw_only=True)
class DocumentRevision:
    """One revision of one service document.

    Parameters
    ----------
    text : str or None
        YAML text, None if the document was deleted.
    """

    service: str
    revision: int
    text: str | None


@attrs.frozen(kw_only=True)
class RevisionQuery:
    """Asks for the documents whose revision is greater than `above`."""

    sender: str
    above: int


@attrs.frozen(kw_only=True)
class RevisionPage:
    """Documents above the requested revision, complete up to `revision`."""

    revision: int
    documents: tuple[DocumentRevision, ...]
