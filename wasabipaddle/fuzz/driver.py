"""Driver that runs the state machine seed by seed for a given time."""

import time

import attrs
import hypothesis
from hypothesis import HealthCheck, Phase
from hypothesis.stateful import run_state_machine_as_test

from wasabipaddle.fuzz.machine import CellMachine

__all__ = ["FuzzResult", "fuzz"]

EXAMPLES_PER_SEED = 5
STEPS = 30


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


def run_seed(seed, *, machine=CellMachine, examples=EXAMPLES_PER_SEED) -> str:
    """Run the examples of one seed; return a report, empty if no example fails."""
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=STEPS,
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
