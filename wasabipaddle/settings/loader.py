"""Loading of settings and deployments from YAML."""

import pathlib

import yaml
from result import Err, Ok, Result

from wasabipaddle.documents.loader import BOUNDS as DOCUMENT_BOUNDS
from wasabipaddle.documents.loader import NAME_FIELDS as DOCUMENT_NAME_FIELDS
from wasabipaddle.documents.reader import Bounds, Reader, join_problems
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.settings.cell import CellSettings
from wasabipaddle.settings.checks import (
    check_cell_settings,
    check_deployment,
    check_settings,
)
from wasabipaddle.settings.model import Deployment, Settings
from wasabipaddle.settings.platform_fields import include_platform_fields

__all__ = ["load_cell_settings", "load_deployment", "load_settings"]

MAX_SETTINGS_BYTES = 1_048_576
PORT = Bounds(low=1, high=65_535)
DURATION = Bounds(low=0.001, high=3_600)
POSITIVE = Bounds(low=1, high=1_000_000_000)

BOUNDS = {
    **DOCUMENT_BOUNDS,
    ("Peer", "api_port"): PORT,
    ("Peer", "internal_port"): PORT,
    ("WorkerRack", "first_port"): PORT,
    ("WorkerRack", "count"): Bounds(low=1, high=10_000),
    ("EndpointGroup", "first_port"): PORT,
    ("EndpointGroup", "count"): Bounds(low=1, high=10_000),
    ("EndpointGroup", "slots"): Bounds(low=1, high=10_000),
    ("EndpointGroup", "connections"): Bounds(low=1, high=10_000),
    ("CellBounds", "lease_max_s"): DURATION,
    ("CellBounds", "stop_s"): Bounds(high=60),
    ("CellBounds", "grace_s"): DURATION,
    ("CellBounds", "restore_s"): Bounds(high=600),
    ("CellBounds", "store_lease_min_s"): Bounds(high=600),
    ("CellBounds", "keep_final_s"): Bounds(high=86_400),
    ("CellBounds", "remote_slowdown"): Bounds(low=1, high=1_000),
    ("CellBounds", "drain_s"): DURATION,
    ("CellBounds", "configuration_s"): DURATION,
    ("CellBounds", "cancel_s"): DURATION,
    ("CellBounds", "revocation_s"): Bounds(high=3_600),
    ("CellBounds", "maintenance_s"): Bounds(high=3_600),
    ("CellBounds", "order_pause_s"): Bounds(high=3_600),
    ("CellSettings", "metrics_port"): Bounds(high=65_535),
    ("CellSettings", "processor_share"): Bounds(low=0.001, high=1_000),
    ("CellSettings", "processor_speed"): Bounds(low=0.001, high=1_000),
    ("CellSettings", "max_job_tasks"): Bounds(low=1, high=1_000_000),
    ("CellSettings", "memory_mb"): Bounds(high=100_000_000),
    ("CellSettings", "descriptors"): Bounds(high=100_000_000),
    ("DataCentre", "shards"): Bounds(low=1, high=64),
    ("LinkSettings", "data_centre_latency_ms"): Bounds(high=10_000),
    ("LinkSettings", "region_latency_ms"): Bounds(high=10_000),
    ("LinkSettings", "client_latency_ms"): Bounds(high=10_000),
    ("LinkSettings", "region_mbit_per_s"): Bounds(low=0.001, high=1_000_000),
    ("ApiSettings", "max_body_bytes"): Bounds(low=1_024, high=1_073_741_824),
    ("ApiSettings", "max_header_bytes"): Bounds(low=1_024, high=1_048_576),
    ("ApiSettings", "max_connections"): Bounds(low=1, high=1_000_000),
    ("ApiSettings", "caller_rate_per_s"): Bounds(low=0.01, high=1_000_000),
    ("ApiSettings", "caller_burst"): Bounds(low=1, high=10_000_000),
    ("ApiSettings", "max_wait_s"): Bounds(high=600),
    ("ApiSettings", "drain_s"): Bounds(high=3_600),
    ("MembershipSettings", "heartbeat_s"): DURATION,
    ("MembershipSettings", "summary_s"): DURATION,
    ("MembershipSettings", "suspect_s"): DURATION,
    ("LeadershipSettings", "lease_s"): DURATION,
    ("LeadershipSettings", "task_lease_s"): DURATION,
    ("LeadershipSettings", "drift"): Bounds(high=0.5),
    ("JournalSettings", "min_interval_s"): Bounds(high=60),
    # A store value holds at most one megabyte.
    ("JournalSettings", "max_batch_bytes"): Bounds(low=1_024, high=1_000_000),
    ("JournalSettings", "compact_after"): Bounds(low=1, high=1_000_000),
    ("StoreSettings", "timeout_s"): DURATION,
    ("StoreSettings", "watch_s"): DURATION,
    ("RoutingSettings", "queue_requests"): POSITIVE,
    ("RoutingSettings", "queue_bytes"): POSITIVE,
    ("RoutingSettings", "grant_s"): DURATION,
    ("RoutingSettings", "grant_period_s"): DURATION,
    ("RoutingSettings", "grant_idle_period_s"): DURATION,
    ("RoutingSettings", "progress_s"): DURATION,
    ("RoutingSettings", "buffer_bytes"): Bounds(high=1_073_741_824),
}
NAME_FIELDS = DOCUMENT_NAME_FIELDS | {
    "name",
    "process",
    "data_centre",
    "region",
    "store_region",
    "rack",
    "caller",
}
YAML_KEYS = {
    ("LinkSettings", "region_mbit_per_s"): "bandwidth",
    ("LinkSettings", "spill_bytes_per_s"): "spill",
}


def load_settings(path, *, process=None) -> Result[Settings, Failure]:
    """Read the settings of one process.

    The key `deployment` holds the deployment, or the path of its file relative to
    the settings file.

    Parameters
    ----------
    path : str or pathlib.Path
        Settings file.
    process : str or None
        Value that replaces that of the key `process`, so that processes can share a
        file.

    Returns
    -------
    result.Result
        The settings, or an `Err` of kind `invalid_settings` whose detail lists the
        first `MAX_REPORTED_PROBLEMS` problems, each with its file, line and key and
        with what is allowed.
    """
    reader = _reader(path)
    node = _compose_file(path, reader)
    settings = None
    if node is not None:
        preset = {} if process is None else {"process": process}
        included_path = _find_include(node)
        if included_path is not None:
            target = pathlib.Path(path).parent / included_path
            preset["deployment"] = _read_included(target, reader)
        settings = reader.read_class(Settings, node, preset=preset)
    if settings is not None and not reader.problems:
        if included_path is None:
            check_deployment(settings.deployment, reader, prefix="deployment.")
        check_settings(settings, reader)
    return _to_result(settings, reader.problems)


def load_deployment(path) -> Result[Deployment, Failure]:
    """Read a deployment from its own file; errors as in `load_settings`."""
    reader = _reader(path)
    deployment = _read_deployment(path, reader)
    return _to_result(deployment, reader.problems)


def load_cell_settings(path) -> Result[CellSettings, Failure]:
    """Read the settings of a process of a cell that schedules jobs.

    The key `platform_fields` holds tables of the platform, from which the settings
    that the platform may leave out are taken. Errors are as in `load_settings`.
    """
    reader = _reader(path)
    node = _compose_file(path, reader)
    settings = None
    if node is not None:
        include_platform_fields(node, reader)
        settings = reader.read_class(CellSettings, node)
    if settings is not None:
        check_cell_settings(settings, reader)
    return _to_result(settings, reader.problems)


def _reader(path):
    return Reader(source=str(path), bounds=BOUNDS, names=NAME_FIELDS, keys=YAML_KEYS)


def _compose_file(path, reader):
    try:
        data = pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as error:
        reader.report(1, "", f"cannot be read: {error}", "a readable file")
        return None
    if len(data) > MAX_SETTINGS_BYTES:
        reader.report(
            1, "", "the file is too long", f"at most {MAX_SETTINGS_BYTES} bytes"
        )
        return None
    return reader.compose(data)


def _read_deployment(path, reader):
    node = _compose_file(path, reader)
    deployment = None
    if node is not None:
        deployment = reader.read_class(Deployment, node)
    if deployment is not None:
        check_deployment(deployment, reader)
    return deployment


def _find_include(node):
    """Return the path under the key `deployment`; None if it holds no scalar."""
    if not isinstance(node, yaml.MappingNode):
        return None
    for key_node, value_node in node.value:
        if key_node.value == "deployment" and isinstance(value_node, yaml.ScalarNode):
            return value_node.value
    return None


def _read_included(path, reader):
    """Read a deployment file and add its problems to those of `reader`."""
    included_reader = _reader(path)
    deployment = _read_deployment(path, included_reader)
    reader.problems.extend(included_reader.problems)
    return deployment


def _to_result(value, problems):
    if problems:
        detail = join_problems(problems)
        return Err(Failure(kind=ErrorKind.INVALID_SETTINGS, detail=detail))
    return Ok(value)
