"""Tests of the template from which a platform writes the settings of a process."""

import json
import pathlib
import re

import pytest

from wasabipaddle.settings import CellBounds, load_cell_settings

TEMPLATE = pathlib.Path(__file__).parents[3] / "deploy/settings.yaml.template"
PLACEHOLDER = re.compile(r"\{\{([a-z_.]+)(\|json)?\}\}")
ADDRESS = "127.0.0.1:8000"
NUMBER = 2
OPTIONAL_BOUNDS = {
    "strict_revoke": True,
    "revoke_ms": 5000,
    "maintenance_s": 4,
    "lease_ms": 3500,
    "fencing": True,
}
OPTIONAL_LIMITS = {"memory_mb": 552, "max_fds": 8192, "link_mbps": 100.0}


@pytest.fixture
def load(tmp_path):
    """Return a function that fills in the template and loads it.

    Its arguments are the tables of optional fields, and a text to replace.
    """

    def _load(bounds=None, limits=None, *, replace=("", "")):
        def fill(match):
            """Fill in one placeholder, without sections or absent values."""
            name, quoted = match.groups()
            value = {"bounds": bounds or {}, "limits": limits or {}}.get(name, NUMBER)
            if name.startswith("listen.") or name.endswith(("address", "advice")):
                value = ADDRESS
            elif name in ("node_name", "zone", "region"):
                value = "a"
            return json.dumps(value) if quoted else str(value)

        text = PLACEHOLDER.sub(fill, TEMPLATE.read_text())
        path = tmp_path / "settings.yaml"
        path.write_text(text.replace(*replace, 1))
        return load_cell_settings(path)

    return _load


def test_template_has_only_plain_placeholders():
    """Guards against sections, which simple programs that fill it in do not know."""
    assert "{{" not in PLACEHOLDER.sub("", TEMPLATE.read_text())


def test_template_is_accepted_without_optional_fields(load):
    """Guards against a process that does not start on a platform with fewer fields."""
    settings = load().unwrap()
    assert (settings.memory_mb, settings.descriptors) == (0, 0)
    defaults, bounds = CellBounds(), settings.bounds
    assert bounds.revocation_s == defaults.revocation_s
    assert bounds.maintenance_s == defaults.maintenance_s
    assert bounds.order_pause_s == defaults.order_pause_s
    assert settings.platform.serve_maintenance


def test_optional_fields_are_read(load):
    """Guards against settings of the platform that are lost on the way."""
    settings = load(OPTIONAL_BOUNDS, OPTIONAL_LIMITS).unwrap()
    assert (settings.memory_mb, settings.descriptors) == (552, 8192)
    bounds = settings.bounds
    assert (bounds.revocation_s, bounds.maintenance_s) == (5.0, 4.0)
    assert (bounds.order_pause_s, bounds.lease_max_s) == (3.5, 0.002)


@pytest.mark.parametrize("strict", [False, None])
def test_revocation_has_no_limit_unless_the_platform_is_strict(load, strict):
    """Guards against calls that are refused for a limit that is not in force."""
    settings = load({**OPTIONAL_BOUNDS, "strict_revoke": strict}).unwrap()
    assert settings.bounds.revocation_s == 0.0


def test_settings_of_the_file_hold_before_those_of_the_platform(load):
    """Guards against a value that an operator sets and the platform overrides."""
    replace = ("bounds:\n", "bounds:\n  maintenance: 9s\n")
    settings = load(OPTIONAL_BOUNDS, replace=replace).unwrap()
    assert settings.bounds.maintenance_s == 9.0


@pytest.mark.parametrize(
    "tables, key",
    [
        (({"lease_ms": "soon"}, {}), "bounds.order_pause"),
        (({}, {"memory_mb": [1]}), "memory"),
    ],
)
def test_malformed_optional_field_is_reported(load, tables, key):
    """Guards against a malformed limit that silently becomes the default."""
    assert f"{key}: " in load(*tables).unwrap_err().detail


def test_waves_are_switched_off_in_the_settings(load):
    """Guards against a switch that the loader does not read."""
    replace = ("platform:\n", "platform:\n  serve_maintenance: false\n")
    assert not load(replace=replace).unwrap().platform.serve_maintenance
