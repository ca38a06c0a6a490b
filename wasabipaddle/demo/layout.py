"""Files of a demo: settings of the entry processes and of the stand-ins.

Traffic between data centres and to the platform passes through the link stand-in. Each
data centre therefore has its own deployment file, in which the addresses of the
platform and of other data centres are ports of the link.
"""

import pathlib

import attrs
import cattrs
import yaml

from wasabipaddle.demo.ports import LARGEST_PORT, shift_ports
from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError
from wasabipaddle.interfaces import VmEntry, VmRole, VmStatus
from wasabipaddle.settings import load_deployment
from wasabipaddle.standins.proxy import ProxyRoute
from wasabipaddle.standins.settings import (
    EndpointStandin,
    LinkStandin,
    Place,
    StandinSettings,
    StoreStandin,
    VmListStandin,
    WorkerStandin,
)

__all__ = ["Layout", "write_layout"]

HOST = "127.0.0.1"
PLATFORM = "platform"
VM_LIST_LAG_S = 1.0
PROXY_PORT_OFFSET = 500
CONTROL_PORT_OFFSET = 900
MAX_CONTROL_PORTS = 50


@attrs.frozen(kw_only=True)
class Layout:
    """Files and addresses of a demo.

    Parameters
    ----------
    deployment : Deployment
        The deployment of the example, with shifted ports.
    settings : dict of str to pathlib.Path
        Settings file by entry process.
    standins : tuple of pathlib.Path
        Settings files of the stand-in processes.
    controls : tuple of str
        Control URLs of the stand-in processes.
    """

    deployment: object
    settings: dict
    standins: tuple
    controls: tuple


class _LinkPortAllocator:
    """Allocates the ports of the link, one for each route."""

    def __init__(self, first):
        self.next_port = first
        self.routes = {}

    def allocate(self, source, target, port):
        """Return the link port at which `source` reaches a port of `target`.

        A repeated call with the same arguments returns the same link port.
        """
        key = (source, target, port)
        if key not in self.routes:
            self.routes[key] = ProxyRoute(
                port=self.next_port,
                target_host=HOST,
                target_port=port,
                source=source,
                target=target,
            )
            self.next_port += 1
        return self.routes[key].port


def write_layout(source, directory, *, port_offset=0) -> Layout:
    """Write the files of a demo.

    Parameters
    ----------
    source : pathlib.Path
        Directory of the example, with `deployment.yaml` and `settings.yaml`.
    directory : pathlib.Path
        Directory for the files; it must exist.
    port_offset : int
        Number that is added to every port of the example.

    Raises
    ------
    WasabipaddleError
        If the deployment is not valid or a shifted port is out of range.
    """
    path = directory / "deployment.yaml"
    data = shift_ports(yaml.safe_load(_read(source / "deployment.yaml")), port_offset)
    path.write_text(yaml.safe_dump(data), encoding="utf-8")
    loaded = load_deployment(path)
    if loaded.is_err():
        raise WasabipaddleError(loaded.unwrap_err())
    deployment = loaded.unwrap()
    base_port = _port_of(deployment.store_url)
    if (
        base_port < 1
        or base_port + CONTROL_PORT_OFFSET + MAX_CONTROL_PORTS > LARGEST_PORT
    ):
        detail = f"port offset {port_offset} shifts ports out of the valid range"
        failure = Failure(kind=ErrorKind.INVALID_SETTINGS, detail=detail)
        raise WasabipaddleError(failure)
    link_ports = _LinkPortAllocator(base_port + PROXY_PORT_OFFSET)
    settings = {}
    for centre in deployment.data_centres:
        view = _replace_addresses(yaml.safe_load(_read(path)), centre, link_ports)
        name = f"deployment-{centre.name}.yaml"
        (directory / name).write_text(yaml.safe_dump(view), encoding="utf-8")
        target = directory / f"settings-{centre.name}.yaml"
        process_settings = yaml.safe_load(_read(source / "settings.yaml"))
        process_settings["deployment"] = name
        process_settings["process"] = _first_entry(deployment, centre)
        target.write_text(yaml.safe_dump(process_settings), encoding="utf-8")
        for entry in deployment.entries:
            if entry.data_centre == centre.name:
                settings[entry.name] = target
    parts = _standin_settings(deployment, base_port, link_ports)
    files = []
    for index, part in enumerate(parts):
        path = directory / f"standin-{index}.yaml"
        text = yaml.safe_dump(cattrs.unstructure(part))
        path.write_text(text, encoding="utf-8")
        files.append(path)
    return Layout(
        deployment=deployment,
        settings=settings,
        standins=tuple(files),
        controls=tuple(f"http://{HOST}:{p.control_port}" for p in parts),
    )


def _read(path):
    return pathlib.Path(path).read_text(encoding="utf-8")


def _port_of(url):
    return int(url.rpartition(":")[2])


def _first_entry(deployment, centre):
    return next(e.name for e in deployment.entries if e.data_centre == centre.name)


def _replace_addresses(data, centre, link_ports):
    """Replace addresses outside a data centre by ports of the link.

    Parameters
    ----------
    data : dict
        Deployment as read from YAML, which is changed and returned.
    """
    for key in ("store_url", "vm_list_url"):
        port = link_ports.allocate(centre.name, PLATFORM, _port_of(data[key]))
        data[key] = f"http://{HOST}:{port}"
    for entry in data["entries"]:
        target = entry["data_centre"]
        if target != centre.name:
            port = link_ports.allocate(centre.name, target, entry["internal_port"])
            entry["internal_port"] = port
    return data


def _standin_settings(deployment, base_port, link_ports):
    """Return the settings of the stand-in processes."""
    first = base_port + CONTROL_PORT_OFFSET
    controls = iter(range(first, first + MAX_CONTROL_PORTS))
    platform = StandinSettings(
        control_port=next(controls),
        store=StoreStandin(port=base_port),
        vm_list=VmListStandin(
            port=_port_of(deployment.vm_list_url),
            lag_s=VM_LIST_LAG_S,
            vms=tuple(_list_vms(deployment)),
        ),
    )
    places = [Place(name=c.name, region=c.region) for c in deployment.data_centres]
    places.append(Place(name=PLATFORM, region=deployment.store_region))
    link = StandinSettings(
        control_port=next(controls),
        link=LinkStandin(
            places=tuple(places),
            routes=tuple(link_ports.routes.values()),
            settings=deployment.link,
        ),
    )
    fleets = [
        StandinSettings(
            control_port=next(controls),
            workers=tuple(_worker_standins(deployment, centre)),
            endpoints=tuple(_endpoint_standins(deployment, centre)),
        )
        for centre in deployment.data_centres
    ]
    return (platform, link, *fleets)


def _list_vms(deployment):
    for entry in deployment.entries:
        yield VmEntry(
            vm=entry.name,
            role=VmRole.ENTRY,
            status=VmStatus.LIVE,
            data_centre=entry.data_centre,
            rack="entries",
            host=entry.host,
            port=entry.api_port,
        )
    for rack in deployment.racks:
        for i in range(rack.count):
            yield VmEntry(
                vm=f"{rack.rack}-w{i + 1}",
                role=VmRole.WORKER,
                status=VmStatus.LIVE,
                data_centre=rack.data_centre,
                rack=rack.rack,
                host=rack.host,
                port=rack.first_port + i,
                resources=rack.resources,
            )
    for group in deployment.endpoints:
        for i in range(group.count):
            yield VmEntry(
                vm=_endpoint_name(group, i),
                role=VmRole.ENDPOINT,
                status=VmStatus.LIVE,
                data_centre=group.data_centre,
                rack=group.rack,
                host=group.host,
                port=group.first_port + i,
                pool=group.pool,
                slots=group.slots,
                connections=group.connections,
            )


def _endpoint_name(group, index):
    return f"{group.rack}-{group.pool}-{index + 1}"


def _worker_standins(deployment, centre):
    for rack in deployment.racks:
        if rack.data_centre != centre.name:
            continue
        for i in range(rack.count):
            yield WorkerStandin(
                vm=f"{rack.rack}-w{i + 1}",
                port=rack.first_port + i,
                resources=rack.resources,
                usage_lag_s=1.0,
            )


def _endpoint_standins(deployment, centre):
    for group in deployment.endpoints:
        if group.data_centre != centre.name:
            continue
        for i in range(group.count):
            yield EndpointStandin(
                vm=_endpoint_name(group, i),
                port=group.first_port + i,
                slots=group.slots,
                connections=group.connections,
            )
