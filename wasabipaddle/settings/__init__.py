"""Settings of a process and of the deployment that it belongs to."""

from wasabipaddle.settings.model import (
    ApiSettings,
    DataCentre,
    Deployment,
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
)

__all__ = [
    "ApiSettings",
    "DataCentre",
    "Deployment",
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
]
