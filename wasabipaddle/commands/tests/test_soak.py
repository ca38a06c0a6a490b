"""Tests of the arguments of the command `soak`."""

import pytest

from wasabipaddle.commands.action import UsageError
from wasabipaddle.commands.soak import soak

DEFAULTS = {
    "seed": 1,
    "seeds": 1,
    "seconds": 1,
    "processes": 3,
    "runners": 3,
    "at_once": 1,
    "keep": None,
}


@pytest.mark.parametrize(
    "changes",
    [
        {"seeds": 0},
        {"seconds": "x"},
        {"processes": 1_000},
        {"runners": True},
        {"at_once": 99},
        {"faults": "partition,partitoin"},
    ],
)
def test_wrong_arguments_are_refused_before_anything_starts(changes):
    """Guards against a mistyped number that starts, for example, 1000 processes."""
    with pytest.raises(UsageError):
        soak(**{**DEFAULTS, **changes})
