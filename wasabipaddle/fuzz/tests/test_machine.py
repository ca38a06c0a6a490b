"""Tests of the state machine on fixed examples, and of its driver."""

import hypothesis
import pytest
from hypothesis import HealthCheck, Phase
from hypothesis.stateful import rule, run_state_machine_as_test

from wasabipaddle.commands import main
from wasabipaddle.fuzz.driver import fuzz
from wasabipaddle.fuzz.machine import CellMachine, InvariantViolation

EXAMPLES = 8
STEPS = 25


def test_invariants_hold_under_faults():
    """Guards against a violation of any invariant in a fixed set of runs."""
    settings = hypothesis.settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        derandomize=True,
        database=None,
        deadline=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(CellMachine, settings=settings)


class BrokenMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Violates an invariant in its second step."""

    steps = 0

    @rule()
    def step(self):
        """Count a step; the second one fails."""
        self.steps += 1
        if self.steps == 2:
            raise InvariantViolation("no_vm_overfilled: w0")


def test_driver_reports_seed_and_shortest_run():
    """Guards against a failure that cannot be reproduced from its report."""
    result = fuzz(seconds=1, seed=7, machine=BrokenMachine)
    assert result.seed == 7
    assert "no_vm_overfilled: w0" in result.report
    assert result.report.count("state.step()") == 2
    assert fuzz(seconds=1, seed=7, machine=BrokenMachine) == result


@pytest.mark.parametrize("value", ["0", "-1", "x"])
def test_command_refuses_non_positive_duration(value, capsys):
    """Guards against a fuzz run that starts with an invalid duration."""
    with pytest.raises(SystemExit) as ended:
        main(["fuzz", "--seconds", value])
    assert ended.value.code == 2
    assert "--seconds" in capsys.readouterr().err
