"""Tests of the files that a demo writes."""

import pathlib

import pytest
import yaml

from wasabipaddle.demo.layout import write_layout
from wasabipaddle.exceptions import ErrorKind, WasabipaddleError
from wasabipaddle.settings import load_settings
from wasabipaddle.standins.settings import load_standin_settings

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
NAMES = ("lapidea", "bitacora")
PORT_KEYS = ("api_port", "internal_port", "port", "control_port", "target_port")


def ports_of(data):
    """Return every port in the data of a YAML file."""
    if isinstance(data, list):
        return [port for item in data for port in ports_of(item)]
    if not isinstance(data, dict):
        return []
    found = [v for k, v in data.items() if k in PORT_KEYS]
    found += [int(v.rpartition(":")[2]) for k, v in data.items() if k.endswith("_url")]
    return found + [port for value in data.values() for port in ports_of(value)]


def all_ports(directory):
    """Return every port in the YAML files of a directory, in a fixed order."""
    files = sorted(directory.glob("*.yaml"))
    return [p for file in files for p in ports_of(yaml.safe_load(file.read_text()))]


def layout_in(directory, name, port_offset=0):
    directory.mkdir()
    return write_layout(EXAMPLES / name, directory, port_offset=port_offset)


@pytest.mark.parametrize("name", NAMES)
def test_offset_shifts_every_port(name, tmp_path):
    """Guards against a deployment with an offset that uses a port without it."""
    plain = layout_in(tmp_path / "plain", name)
    shifted = layout_in(tmp_path / "shifted", name, port_offset=10_000)
    before, after = all_ports(tmp_path / "plain"), all_ports(tmp_path / "shifted")
    assert after == [port + 10_000 for port in before]
    assert len(shifted.controls) == len(plain.controls)
    assert not set(shifted.controls) & set(plain.controls)


@pytest.mark.parametrize("name", NAMES)
def test_listening_ports_are_distinct(name, tmp_path):
    """Guards against two listeners of a deployment on one port."""
    layout = layout_in(tmp_path / "cell", name, port_offset=10_000)
    used = [p for e in layout.deployment.entries for p in (e.api_port, e.internal_port)]
    for path in layout.standins:
        standin = load_standin_settings(path).unwrap()
        used.append(standin.control_port)
        used += [part.port for part in (standin.store, standin.vm_list) if part]
        used += [part.port for part in standin.workers + standin.endpoints]
        used += [route.port for route in (standin.link.routes if standin.link else ())]
    assert len(used) == len(set(used))


@pytest.mark.parametrize("name", NAMES)
def test_settings_of_every_process_load(name, tmp_path):
    """Guards against a process that bypasses the link to another data centre."""
    layout = layout_in(tmp_path / "cell", name, port_offset=10_000)
    direct = {e.name: e.internal_port for e in layout.deployment.entries}
    for process, path in layout.settings.items():
        settings = load_settings(path, process=process).unwrap()
        for entry in settings.deployment.entries:
            is_near = entry.data_centre == settings.data_centre
            assert (entry.internal_port == direct[entry.name]) == is_near
        assert settings.deployment.store_url != layout.deployment.store_url


def test_offset_outside_the_range_of_ports_is_refused(tmp_path):
    """Guards against processes that are started with ports they cannot listen on."""
    with pytest.raises(WasabipaddleError) as caught:
        layout_in(tmp_path / "cell", "lapidea", port_offset=47_000)
    assert caught.value.failure.kind is ErrorKind.INVALID_SETTINGS
