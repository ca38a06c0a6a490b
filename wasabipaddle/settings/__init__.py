"""Settings of a process and of the deployment that it belongs to."""

from wasabipaddle.settings.loader import load_deployment, load_settings
from wasabipaddle.settings.model import (
    ApiSettings,
    CallerToken,
    DataCentre,
    Deployment,
    EndpointGroup,
    JournalSettings,
    LeadershipSettings,
    LinkSettings,
    MembershipSettings,
    OperatorToken,
    Peer,
    RoutingSettings,
    Settings,
    StoreSettings,
    TlsSettings,
    WorkerRack,
)

__all__ = [
    "ApiSettings",
    "CallerToken",
    "DataCentre",
    "Deployment",
    "EndpointGroup",
    "JournalSettings",
    "LeadershipSettings",
    "LinkSettings",
    "MembershipSettings",
    "OperatorToken",
    "Peer",
    "RoutingSettings",
    "Settings",
    "StoreSettings",
    "TlsSettings",
    "WorkerRack",
    "load_deployment",
    "load_settings",
]
