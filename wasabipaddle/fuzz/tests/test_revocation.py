"""Removed keys in the state machine, and the mutations that it must find."""

import pytest

from wasabipaddle.fuzz.driver import run_seed
from wasabipaddle.fuzz.revocation import RevocationProcess
from wasabipaddle.fuzz.revocation_machine import RevocationMachine

EXAMPLES, STEPS = 30, 50
MAX_SEEDS = 40


class AgeNotAdded(RevocationProcess):
    """Takes the proof of a peer for one of its own time."""

    def start(self):
        super().start()
        freshness = self.configuration.freshness
        confirm = freshness.confirm_by_peer
        freshness.confirm_by_peer = lambda sent_s, age_s, **versions: confirm(
            sent_s, age_s and 0.0, **versions
        )


class SteadyClock(RevocationProcess):
    """Measures ages by a clock that does not count suspensions."""

    def start(self):
        super().start()
        self.clock.boot_s = lambda: (
            self.cell.now - self.clock.origin_s - self.clock.suspended_s
        )


class ProofKeptOverRestart(RevocationProcess):
    """Restarts with the proof that it had."""

    proved_s = None

    def start(self):
        if self.proved_s is not None:
            self.proved_s = self.configuration.freshness.proved_s
        super().start()
        if self.proved_s is not None:
            self.configuration.freshness.proved_s = self.proved_s
        self.proved_s = 0.0


class TimeOfAnswer(RevocationProcess):
    """Counts from the receipt of an answer of the store."""

    def confirm(self, sent_s):
        super().confirm(self.clock.boot_s())


class ProofOfNewerPeer(RevocationProcess):
    """Uses the proof of a peer whose configuration it does not have."""

    def start(self):
        super().start()
        freshness = self.configuration.freshness
        confirm = freshness.confirm_by_peer
        freshness.confirm_by_peer = lambda sent_s, age_s, **versions: confirm(
            sent_s, age_s, peer_version=0, version=0
        )


class CopyAsProof(RevocationProcess):
    """Takes the arrival of a copy for a proof."""

    def take_copy(self, version):
        if not self.suspended:
            super().take_copy(version)
            self.confirm(self.clock.boot_s())


class NeverAdmits(RevocationProcess):
    """Breaks no bound, and is of no use."""

    def confirm(self, sent_s):
        pass


def test_no_key_is_admitted_after_the_bound():
    """Guards against removed keys that a process out of contact still admits."""
    assert run_seed(1, machine=RevocationMachine, examples=EXAMPLES, steps=STEPS) == ""


@pytest.mark.parametrize(
    "process_type",
    [
        AgeNotAdded,
        SteadyClock,
        ProofKeptOverRestart,
        TimeOfAnswer,
        ProofOfNewerPeer,
        CopyAsProof,
        NeverAdmits,
    ],
)
def test_mutation_is_found(process_type):
    """Guards against a machine that would not see the fault."""
    machine = type("Mutated", (RevocationMachine,), {"process_type": process_type})
    options = {"machine": machine, "examples": EXAMPLES, "steps": STEPS}
    reports = (run_seed(seed, **options) for seed in range(1, MAX_SEEDS + 1))
    report = next(filter(None, reports), "")
    assert report.startswith("InvariantViolation")
