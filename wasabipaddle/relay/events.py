"""Event that is published when a document revision is applied."""

import attrs

from wasabipaddle.documents import ServiceDocument

__all__ = ["DocumentApplied"]


@attrs.frozen(kw_only=True)
class DocumentApplied:
    """A document revision has become the current one in this process.

    Parameters
    ----------
    document : ServiceDocument or None
        The document, None if the revision is a deletion.
    """

    service: str
    revision: int
    document: ServiceDocument | None
