"""Settings of one process of stand-ins, read from YAML."""

import attrs
import cattrs
import yaml
from result import Err, Ok, Result

from wasabipaddle.documents import Resources
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import VmEntry
from wasabipaddle.settings import LinkSettings
from wasabipaddle.standins.proxy import ProxyRoute
from wasabipaddle.standins.store import StoreAllowance

__all__ = [
    "EndpointStandin",
    "LinkStandin",
    "Place",
    "StandinSettings",
    "StoreStandin",
    "VmListStandin",
    "WorkerStandin",
    "load_standin_settings",
]


@attrs.frozen(kw_only=True)
class StoreStandin:
    """Key-value store.

    Parameters
    ----------
    port : int
        Listening port.
    latency_ms : float
        Round-trip time of a call.
    allowance : StoreAllowance
        Limits of the call rates.
    """

    port: int
    latency_ms: float = 4.0
    allowance: StoreAllowance = StoreAllowance()


@attrs.frozen(kw_only=True)
class VmListStandin:
    """List of VMs.

    Parameters
    ----------
    port : int
        Listening port.
    lag_s : float
        Time from a change to its appearance in the list.
    vms : tuple of VmEntry
        Initial content.
    """

    port: int
    lag_s: float = 5.0
    vms: tuple[VmEntry, ...] = ()


@attrs.frozen(kw_only=True)
class WorkerStandin:
    """One worker.

    Parameters
    ----------
    vm : str
        Name of the VM.
    port : int
        Listening port.
    resources : Resources
        Capacity of the VM.
    usage_lag_s : float
        Age of the reported usage.
    """

    vm: str
    port: int
    resources: Resources
    usage_lag_s: float = 5.0


@attrs.frozen(kw_only=True)
class EndpointStandin:
    """One endpoint."""

    vm: str
    port: int
    slots: int = 8
    connections: int = 64


@attrs.frozen(kw_only=True)
class Place:
    """Place on the link: a data centre, or a client if the region is empty."""

    name: str
    region: str = ""


@attrs.frozen(kw_only=True)
class LinkStandin:
    """Proxy that carries the traffic between places over a simulated link."""

    places: tuple[Place, ...]
    routes: tuple[ProxyRoute, ...]
    settings: LinkSettings = LinkSettings()


@attrs.frozen(kw_only=True)
class StandinSettings:
    """Stand-ins of one process.

    Parameters
    ----------
    host : str
        IP address of every listener.
    control_port : int
        Port of the control API.
    seed : int
        Seed of the random choice of lost calls and answers.
    """

    control_port: int
    host: str = "127.0.0.1"
    seed: int = 1
    store: StoreStandin | None = None
    vm_list: VmListStandin | None = None
    workers: tuple[WorkerStandin, ...] = ()
    endpoints: tuple[EndpointStandin, ...] = ()
    link: LinkStandin | None = None


def load_standin_settings(path) -> Result[StandinSettings, Failure]:
    """Read the settings of one process from a YAML file.

    Returns
    -------
    result.Result
        The settings, or an `Err` of kind `invalid_settings`.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        with open(path, encoding="utf-8") as file:
            data = yaml.safe_load(file)
        return Ok(converter.structure(data, StandinSettings))
    except (OSError, yaml.YAMLError) as error:
        detail = f"{path}: {error}"
    except Exception as error:
        detail = f"{path}: {'; '.join(cattrs.transform_error(error))}"
    return Err(Failure(kind=ErrorKind.INVALID_SETTINGS, detail=detail))
