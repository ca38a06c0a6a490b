"""Shared fixtures and the hypothesis profile of CI."""

import random

import hypothesis
import pytest

from wasabipaddle.clock import ManualClock

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.load_profile("ci")


@pytest.fixture
def clock():
    """Clock that the test advances explicitly."""
    return ManualClock()


@pytest.fixture
def rng():
    """Seeded random number generator."""
    return random.Random(7)
