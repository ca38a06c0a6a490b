"""Facts about applied documents."""

import attrs

from wasabipaddle.documents import ServiceDocument

__all__ = ["DocumentApplied"]


@attrs.frozen(kw_only=True)
class DocumentApplied:
    """A document revision is in force in this process.

    Parameters
    ----------
    document : ServiceDocument or None
        None if the document was deleted.
    """

    service: str
    revision: int
    document: ServiceDocument | None
