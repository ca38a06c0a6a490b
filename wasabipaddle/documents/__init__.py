"""Service documents, which declare the needs, policies and placement of services."""

from wasabipaddle.documents.catalogue import (
    AppliedDocument,
    Catalogue,
    diff_texts,
)
from wasabipaddle.documents.loader import (
    load_document,
    minimal_run_resources,
    parse_document,
)
from wasabipaddle.documents.model import (
    Placement,
    Quota,
    RequestPolicy,
    Resources,
    RunPolicy,
    ServiceDocument,
    ServiceKind,
    Share,
    TeamQuota,
    Urgency,
)
from wasabipaddle.documents.stored import (
    StoredDocument,
    decode_stored,
    document_key,
    encode_stored,
)

__all__ = [
    "AppliedDocument",
    "Catalogue",
    "Placement",
    "Quota",
    "RequestPolicy",
    "Resources",
    "RunPolicy",
    "ServiceDocument",
    "ServiceKind",
    "Share",
    "StoredDocument",
    "TeamQuota",
    "Urgency",
    "decode_stored",
    "diff_texts",
    "document_key",
    "encode_stored",
    "load_document",
    "minimal_run_resources",
    "parse_document",
]
