"""Command `fuzz`: runs the state machine of a whole cell for a time."""

from wasabipaddle.commands.action import UsageError

__all__ = ["fuzz"]


def fuzz(*, seconds, seed) -> bool:
    """Run seeds for a time, print the result and return whether all hold."""
    if not isinstance(seconds, int | float) or seconds <= 0:
        raise UsageError("--seconds must be a positive number")
    if not isinstance(seed, int):
        raise UsageError("--seed must be a whole number")
    try:
        from wasabipaddle.fuzz.driver import fuzz as run
    except ImportError as error:
        raise UsageError("fuzz needs the development dependencies") from error
    result = run(seconds=seconds, seed=seed)
    if result.seed is None:
        print(f"{result.seeds} seeds from {seed} hold")
        return True
    print(f"seed {result.seed} breaks an invariant; repeat with --seed {result.seed}")
    print(result.report)
    return False
