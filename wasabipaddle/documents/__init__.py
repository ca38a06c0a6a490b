"""Service documents: what a service needs and how it may be placed."""

from wasabipaddle.documents.loader import (
    load_document,
    one_run_needs,
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

__all__ = [
    "Placement",
    "Quota",
    "RequestPolicy",
    "Resources",
    "RunPolicy",
    "ServiceDocument",
    "ServiceKind",
    "Share",
    "TeamQuota",
    "Urgency",
    "load_document",
    "one_run_needs",
    "parse_document",
]
