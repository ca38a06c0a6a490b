"""HTTP interface for callers and operators."""

from wasabipaddle.api.cluster import ClusterRoutes
from wasabipaddle.api.editor import DocumentEditor, DocumentView
from wasabipaddle.api.listener import Listener
from wasabipaddle.api.readiness import Readiness
from wasabipaddle.api.requests import RequestRoutes
from wasabipaddle.api.runs import RunRoutes
from wasabipaddle.api.services import DocumentRoutes
from wasabipaddle.api.state import ApiState
from wasabipaddle.api.tls import CertificateReloader, server_context

__all__ = [
    "ApiState",
    "CertificateReloader",
    "ClusterRoutes",
    "DocumentEditor",
    "DocumentRoutes",
    "DocumentView",
    "Listener",
    "Readiness",
    "RequestRoutes",
    "RunRoutes",
    "server_context",
]
