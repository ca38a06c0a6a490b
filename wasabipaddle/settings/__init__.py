"""Settings of a process and of the deployment to which it belongs."""

from wasabipaddle.settings.cell import (
    CellBounds,
    CellPeer,
    CellSettings,
    PlatformAddresses,
)
from wasabipaddle.settings.loader import (
    load_cell_settings,
    load_deployment,
    load_settings,
)
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
    "CellBounds",
    "CellPeer",
    "CellSettings",
    "DataCentre",
    "Deployment",
    "EndpointGroup",
    "JournalSettings",
    "LeadershipSettings",
    "LinkSettings",
    "MembershipSettings",
    "OperatorToken",
    "Peer",
    "PlatformAddresses",
    "RoutingSettings",
    "Settings",
    "StoreSettings",
    "TlsSettings",
    "WorkerRack",
    "load_cell_settings",
    "load_deployment",
    "load_settings",
]
