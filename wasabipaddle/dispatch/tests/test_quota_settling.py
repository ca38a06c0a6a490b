"""Work that fits its quota ends after all disturbances of the quota machine."""

import pytest
from hypothesis import Phase

from wasabipaddle.dispatch.claims import QuotaClaims
from wasabipaddle.dispatch.quotas import Quotas
from wasabipaddle.dispatch.tests.test_quota_machine import QuotaMachine, run_machine

# Rounds of a second after which all work has ended: the wait for suspect runners, and
# some waves of the largest number of jobs.
SETTLING_ROUNDS = 90


class SettlingMachine(QuotaMachine):
    """Lets the disturbances end, and checks that nothing waits without a reason."""

    def teardown(self):
        """Let tasks end for a while; all jobs that fit their quota have to end."""
        self.cell.unresponsive.clear()
        for _ in range(SETTLING_ROUNDS):
            if not self.waiting_within_quota():
                return
            for name, runner in self.cell.runners.items():
                for key in list(runner.running):
                    self.close(name, *key)
                    runner.end(*key)
            self.run_round(1.0, ["delivered"])
            self.nothing_runs_uncounted()
        assert not self.waiting_within_quota(), "job that waits for ever"

    def waiting_within_quota(self):
        """Return the open steps that do not end although they fit their quota."""
        return [
            step
            for entry in self.cell.state.unfinished.values()
            for step in entry.steps.values()
            if step.opened and step.remaining and self.fits_quota(step)
        ]

    def fits_quota(self, step):
        quota = self.quotas[step.job.job.workspace]
        together = step.spec.count if step.spec.gang else 1
        return not quota or together * step.spec.cpu <= quota


def test_nothing_waits_for_ever():
    """Guards against accepted work that fits its quota and never starts."""
    run_machine(200, machine=SettlingMachine)


def keep_claims(monkeypatch):
    """Keep a claim on a quota for ever."""
    monkeypatch.setattr(QuotaClaims, "_end", lambda self, name, reason: None)


def keep_unknown_runs(monkeypatch):
    """Count the runs that a predecessor may have started for ever."""
    find = Quotas._refresh_unknown

    def refresh(quotas):
        if quotas.state.suspects or not quotas.unknown:
            find(quotas)

    monkeypatch.setattr(Quotas, "_refresh_unknown", refresh)


@pytest.mark.parametrize("mutate", [keep_claims, keep_unknown_runs])
def test_settling_machine_finds_mutations(monkeypatch, mutate):
    """Guards against a check of waiting work that would not notice a fault."""
    mutate(monkeypatch)
    with pytest.raises(AssertionError, match="waits for ever"):
        run_machine(300, machine=SettlingMachine, phases=(Phase.generate,))
