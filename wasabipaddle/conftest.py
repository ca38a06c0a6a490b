"""Shared fixtures, the hypothesis profile of CI, and the list of known failures."""

import random

import hypothesis
import pytest

from wasabipaddle.clock import ManualClock
from wasabipaddle.tests.known_red import (
    KNOWN_RED,
    find_unknown,
    is_listed,
    read_listed_tests,
)

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.load_profile("ci")


def pytest_addoption(parser):
    """Add the option that runs the known failures as well."""
    parser.addoption(
        "--known-red", action="store_true", help="run the tests of KNOWN-RED.txt too"
    )


def pytest_collection_modifyitems(config, items):
    """Pass over the tests that `KNOWN-RED.txt` lists."""
    listed = read_listed_tests(KNOWN_RED.read_text())
    unknown = find_unknown([item.nodeid for item in items], listed)
    whole_files = not any("::" in argument for argument in config.args)
    if unknown and whole_files:
        raise pytest.UsageError(f"KNOWN-RED.txt lists unknown tests: {unknown}")
    if config.getoption("--known-red"):
        return
    config.known_red = [item for item in items if is_listed(item.nodeid, listed)]
    config.hook.pytest_deselected(items=config.known_red)
    items[:] = [item for item in items if item not in config.known_red]


def pytest_terminal_summary(terminalreporter, config):
    """Print the tests that were passed over."""
    for item in getattr(config, "known_red", ()):
        terminalreporter.write_line(f"known failure, not run: {item.nodeid}")


@pytest.fixture
def clock():
    """Clock that the test advances explicitly."""
    return ManualClock()


@pytest.fixture
def rng():
    """Seeded random number generator."""
    return random.Random(7)
