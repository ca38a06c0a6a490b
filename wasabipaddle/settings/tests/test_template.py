"""Tests of the template from which a platform writes the settings of a process."""

import pathlib
import re

from wasabipaddle.settings import load_cell_settings

TEMPLATE = pathlib.Path(__file__).parents[3] / "deploy/settings.yaml.template"
SECTION = re.compile(r"\{\{[#/][^}]*\}\}")
FIELD = re.compile(r"\{\{([^}|]*)(\|json)?\}\}")


def fill(match):
    """Return a value for a field of the template."""
    name, quoted = match.groups()
    if name.startswith("listen.") or name.endswith(("address", "advice")):
        return '"127.0.0.1:8000"' if quoted else "127.0.0.1:8000"
    return '"a"' if quoted else "2"


def test_filled_template_is_accepted(tmp_path):
    """Guards against keys of the template that no process accepts at its start."""
    path = tmp_path / "settings.yaml"
    path.write_text(FIELD.sub(fill, SECTION.sub("", TEMPLATE.read_text())))
    settings = load_cell_settings(path).unwrap()
    assert settings.memory_mb == 2
    assert settings.descriptors == 2
    assert settings.platform.serve_maintenance


def test_waves_are_switched_off_in_the_settings(tmp_path):
    """Guards against a switch that the loader does not read."""
    path = tmp_path / "settings.yaml"
    text = FIELD.sub(fill, SECTION.sub("", TEMPLATE.read_text()))
    switch = "platform:\n  serve_maintenance: false\n"
    path.write_text(text.replace("platform:\n", switch, 1))
    assert not load_cell_settings(path).unwrap().platform.serve_maintenance
