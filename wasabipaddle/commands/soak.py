"""Command `soak`: run soak tests and print the violations that they find."""

import concurrent.futures
import functools

from wasabipaddle.commands.action import UsageError

__all__ = ["soak"]

MOST_PROCESSES = 64
MOST_AT_ONCE = 8


def soak(*, seed, seeds, seconds, processes, runners, at_once, keep) -> bool:
    """Run seeds, print a line for each and return whether none has a violation."""
    _check("--seed", seed, low=0)
    _check("--seeds", seeds, low=1)
    _check("--seconds", seconds, low=1)
    _check("--processes", processes, low=1, high=MOST_PROCESSES)
    _check("--runners", runners, low=1, high=1_000)
    _check("--at_once", at_once, low=1, high=MOST_AT_ONCE)
    from wasabipaddle.soak import run_soak

    run = functools.partial(
        _run_seed,
        run_soak,
        seconds=seconds,
        processes=processes,
        runners=runners,
        keep=keep,
    )
    holds = True
    with concurrent.futures.ProcessPoolExecutor(at_once) as pool:
        for result in pool.map(run, range(seed, seed + seeds)):
            print(result.line(), flush=True)
            for violation in result.violations:
                print(f"  {violation.line()}")
            holds &= result.holds
    return holds


def _run_seed(run, seed, **options):
    return run(seed=seed, **options)


def _check(name, value, *, low, high=None):
    whole = isinstance(value, int | float) and not isinstance(value, bool)
    if not whole or value < low or (high is not None and value > high):
        limit = f" and at most {high}" if high is not None else ""
        raise UsageError(f"{name} must be a number of at least {low}{limit}")
