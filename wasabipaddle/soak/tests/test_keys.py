"""Removed keys in the soak test: what its callers count as a violation."""

import asyncio
import random
import types

import pytest

from wasabipaddle.interfaces.callers import CallResult
from wasabipaddle.soak.keys import REVOCATION_S, KeyRemovals, SoakKeys
from wasabipaddle.soak.ledger import SoakLedger


class FakePlatform:
    """Platform whose configuration is in force everywhere at once."""

    processes = ("p0", "p1")
    queues = ()

    def __init__(self):
        self.keys = SoakKeys()
        ignore = types.SimpleNamespace(cut=self.ignore, restore=self.ignore)
        self.link = ignore

    def ignore(self, *places):
        """Do nothing."""

    configure = ignore


class FakeCell:
    """Cell whose processes do not notice what happens to them."""

    async def pause(self, name, seconds):
        await asyncio.sleep(seconds)

    def kill(self, name):
        """Do nothing."""


@pytest.fixture
def remove_keys(run_virtual):
    """Return the violations of a removal in a cell that admits keys for a while."""

    def run(admitted_s, status=410):
        async def scenario():
            ledger = SoakLedger()
            platform = FakePlatform()
            removed_s = []

            async def call(name, queue, job_id, *, key):
                if key not in platform.keys.added and not removed_s:
                    removed_s.append(ledger.now())
                age_s = ledger.now() - removed_s[0]
                return CallResult(status=status if age_s <= admitted_s else 503)

            removals = KeyRemovals(
                platform=platform,
                cell=FakeCell(),
                ledger=ledger,
                random=random.Random(1),
                call=call,
            )
            await removals.keys_removed(0.0)
            return ledger.violations

        return run_virtual(scenario)

    return run


def test_key_that_is_admitted_up_to_the_bound_is_no_violation(remove_keys):
    """Guards against a soak test that reports what the bound allows."""
    assert remove_keys(REVOCATION_S) == []


@pytest.mark.parametrize("status", [200, 410])
def test_key_that_is_admitted_after_the_bound_is_reported(remove_keys, status):
    """Guards against a soak test that cannot see an admitted key."""
    found = remove_keys(REVOCATION_S + 0.5, status)
    assert {violation.promise for violation in found} == {"key"}


def test_refused_key_is_no_violation(remove_keys):
    """Guards against a refusal that counts as an admission."""
    assert remove_keys(1e9, status=401) == []
