"""Command `fuzz`: fuzz an in-memory cell for a given time."""

from wasabipaddle.commands.action import UsageError

__all__ = ["fuzz"]


def fuzz(*, seconds, seed) -> bool:
    """Run seeds until the time is over; return whether every invariant holds."""
    if not isinstance(seconds, int | float) or seconds <= 0:
        raise UsageError("--seconds must be a positive number")
    if not isinstance(seed, int):
        raise UsageError("--seed must be a whole number")
    try:
        from wasabipaddle.fuzz.driver import fuzz as run
    except ImportError as error:
        raise UsageError(
            "fuzz needs the development dependencies of wasabipaddle"
        ) from error
    result = run(seconds=seconds, seed=seed)
    if result.seed is None:
        print(f"{result.seeds} seeds from {seed} hold")
        return True
    print(f"seed {result.seed} breaks an invariant; repeat with --seed {result.seed}")
    print(result.report)
    return False
