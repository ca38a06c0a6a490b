"""Command `soak`: run soak tests and print the violations that they find."""

import concurrent.futures
import functools

from wasabipaddle.commands.action import UsageError

__all__ = ["soak"]

MAX_PROCESSES = 64
MAX_PARALLEL_SEEDS = 8
# With fewer, a step has too few eligible runners whose memory is full.
LEAST_MEMORY_BOUND_RUNNERS = 12


def soak(*, seed, seeds, seconds, processes, runners, at_once, keep, faults="") -> bool:
    """Run seeds, print a line for each and return whether none has a violation."""
    _check_number("--seed", seed, low=0)
    _check_number("--seeds", seeds, low=1)
    _check_number("--seconds", seconds, low=1)
    _check_number("--processes", processes, low=1, high=MAX_PROCESSES)
    _check_number("--runners", runners, low=1, high=1_000)
    _check_number("--at_once", at_once, low=1, high=MAX_PARALLEL_SEEDS)
    names = _select_faults(faults)
    from wasabipaddle.soak import run_soak

    run = functools.partial(
        _run_seed,
        run_soak,
        seconds=seconds,
        processes=processes,
        runners=runners,
        keep=keep,
        faults=names,
    )
    passed = True
    with concurrent.futures.ProcessPoolExecutor(at_once) as pool:
        for result in pool.map(run, range(seed, seed + seeds)):
            print(result.line(), flush=True)
            for violation in result.violations:
                print(f"  {violation.line()}")
            passed &= result.passed
    return passed


def _run_seed(run, seed, *, runners, **options):
    # Cells with and without workspaces, with and without lasting work that memory
    # binds, and with and without a time limit on removed keys are played by turns.
    memory_bound = seed // 2 % 2 == 1
    if memory_bound:
        runners = max(runners, LEAST_MEMORY_BOUND_RUNNERS)
    return run(
        seed=seed,
        workspaces=seed % 2 == 1,
        memory_bound=memory_bound,
        runners=runners,
        removal_limited=seed // 4 % 2 == 0,
        **options,
    )


def _select_faults(text):
    """Return the faults that a list separated by commas names; all if it is empty."""
    from wasabipaddle.soak.names import ALL_FAULTS

    if not text:
        return ALL_FAULTS
    names = tuple(name.strip() for name in text.split(","))
    unknown = [name for name in names if name not in ALL_FAULTS]
    if unknown:
        known = ", ".join(ALL_FAULTS)
        raise UsageError(f"--faults: no fault {unknown[0]!r}; there are {known}")
    return names


def _check_number(name, value, *, low, high=None):
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or value < low or (high is not None and value > high):
        limit = f" and at most {high}" if high is not None else ""
        raise UsageError(f"{name} must be a number of at least {low}{limit}")
