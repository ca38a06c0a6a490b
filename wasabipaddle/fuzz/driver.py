"""Driver that runs the state machine seed by seed for a given time."""

import time

import attrs
import hypothesis
from hypothesis import HealthCheck, Phase
from hypothesis.stateful import run_state_machine_as_test

from wasabipaddle.fuzz.machine import CellMachine
from wasabipaddle.fuzz.revocation_machine import RevocationMachine

__all__ = ["FuzzResult", "fuzz", "fuzz_revocation", "run_seed"]

EXAMPLES_PER_SEED = 5
STEPS = 30
REVOCATION_EXAMPLES = 20
REVOCATION_STEPS = 50


@attrs.frozen(kw_only=True)
class FuzzResult:
    """Result of a fuzz run.

    Parameters
    ----------
    seeds : int
        Number of seeds that were run.
    seed : int or None
        Seed that violated an invariant; None if every invariant holds.
    report : str
        The violated invariant and the shortest failing run; empty if every invariant
        holds.
    """

    seeds: int
    seed: int | None = None
    report: str = ""


def fuzz(*, seconds, seed, machine=CellMachine, clock=time.monotonic) -> FuzzResult:
    """Run consecutive seeds until the time is over or an invariant is violated.

    A seed in progress is finished, and a failing run is shrunk before it is reported.

    Parameters
    ----------
    seconds : float
        Time after which no new seed is started; at least one seed is run.
    seed : int
        First seed.
    machine : type
        State machine to run.
    clock : callable
        Source of the time in seconds.
    """
    until = clock() + seconds
    seeds_run = 0
    while seeds_run == 0 or clock() < until:
        report = run_seed(seed + seeds_run, machine=machine)
        seeds_run += 1
        if report:
            return FuzzResult(seeds=seeds_run, seed=seed + seeds_run - 1, report=report)
    return FuzzResult(seeds=seeds_run)


def fuzz_revocation(*, steps, seed, machine=RevocationMachine) -> FuzzResult:
    """Run consecutive seeds of the machine of removed keys for a number of steps."""
    seeds = -(-steps // (REVOCATION_EXAMPLES * REVOCATION_STEPS))
    for number in range(seeds):
        report = run_seed(
            seed + number,
            machine=machine,
            examples=REVOCATION_EXAMPLES,
            steps=REVOCATION_STEPS,
        )
        if report:
            return FuzzResult(seeds=number + 1, seed=seed + number, report=report)
    return FuzzResult(seeds=seeds)


def run_seed(
    seed, *, machine=CellMachine, examples=EXAMPLES_PER_SEED, steps=STEPS
) -> str:
    """Run the examples of one seed; return a report, empty if no example fails."""
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=False,
        database=None,
        deadline=None,
        print_blob=False,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )
    seeded = hypothesis.seed(seed)(type(machine.__name__, (machine,), {}))
    try:
        run_state_machine_as_test(seeded, settings=settings)
    except Exception as error:  # every exception is a failure of the run
        lines = [f"{type(error).__name__}: {error}", *getattr(error, "__notes__", ())]
        return "\n".join(lines)
    return ""
