"""Distribution of service documents."""

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
    """Question for the documents above a revision."""

    sender: str
    above: int


@attrs.frozen(kw_only=True)
class RevisionPage:
    """Documents above the asked revision, and the revision they are complete to."""

    revision: int
    documents: tuple[DocumentRevision, ...]
