"""Command `fuzz`: fuzz an in-memory cell for a given time, or the decoders."""

from wasabipaddle.commands.action import UsageError

__all__ = ["fuzz"]

MISSING_DEPENDENCIES = "fuzz needs the development dependencies of wasabipaddle"


def fuzz(*, seconds, seed, decoders=None, keep=None, keys=None) -> bool:
    """Run one kind of fuzzing and return whether no fault was found.

    Without `decoders` and `keys`, seeds of a cell are run until the time is over.
    `decoders` is the number of inputs for the decoders; the inputs of faults are
    written to the directory `keep`, unless it is None. `keys` is the number of steps of
    the machine of removed keys.
    """
    if decoders is not None:
        return _fuzz_decoders(inputs=decoders, seed=seed, directory=keep)
    if keys is not None:
        return _fuzz_revocation(steps=keys, seed=seed)
    if not isinstance(seconds, int | float) or seconds <= 0:
        raise UsageError("--seconds must be a positive number")
    _check_seed(seed)
    try:
        from wasabipaddle.fuzz.driver import fuzz as run
    except ImportError as error:
        raise UsageError(MISSING_DEPENDENCIES) from error
    return _show(run(seconds=seconds, seed=seed), seed)


def _fuzz_revocation(*, steps, seed):
    if not isinstance(steps, int) or isinstance(steps, bool) or steps <= 0:
        raise UsageError("--keys must be a positive whole number")
    _check_seed(seed)
    try:
        from wasabipaddle.fuzz.driver import fuzz_revocation
    except ImportError as error:
        raise UsageError(MISSING_DEPENDENCIES) from error
    return _show(fuzz_revocation(steps=steps, seed=seed), seed)


def _show(result, seed):
    if result.seed is None:
        print(f"{result.seeds} seeds from {seed} hold")
        return True
    print(f"seed {result.seed} breaks an invariant; repeat with --seed {result.seed}")
    print(result.report)
    return False


def _fuzz_decoders(*, inputs, seed, directory):
    if not isinstance(inputs, int) or isinstance(inputs, bool) or inputs <= 0:
        raise UsageError("--decoders must be a positive whole number")
    _check_seed(seed)
    from wasabipaddle.fuzz.records import fuzz_decoders, keep

    result = fuzz_decoders(inputs=inputs, seed=seed)
    print(f"{result.inputs} inputs of seed {seed}: {len(result.faults)} faults")
    for fault in result.faults:
        print(f"input {fault.number}, decoder {fault.target}: {fault.error}")
        if directory is not None:
            print(f"  kept in {keep(fault, str(directory))}")
    return not result.faults


def _check_seed(seed):
    if not isinstance(seed, int):
        raise UsageError("--seed must be a whole number")
