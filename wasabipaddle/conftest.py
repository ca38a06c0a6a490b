"""Shared fixtures and the hypothesis profile of CI."""

import random

import hypothesis
import pytest

from wasabipaddle.clock import ManualClock

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.load_profile("ci")


@pytest.fixture
def clock():
    """Clock that the test moves by hand."""
    return ManualClock()


@pytest.fixture
def rng():
    """Seeded random numbers."""
    return random.Random(7)
