"""Events that are published when a document is applied."""

import attrs

from wasabipaddle.documents import ServiceDocument

__all__ = ["DocumentApplied"]


@attrs.frozen(kw_only=True)
class DocumentApplied:
    """A document revision has come into force in this process.

    Parameters
    ----------
    document : ServiceDocument or None
        The document, None if the revision is a deletion.
    """

    service: str
    revision: int
    document: ServiceDocument | None
