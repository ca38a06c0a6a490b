"""Fuzzing of the decoders of records, answers and messages."""

import hashlib
import pathlib
import random

import attrs

from wasabipaddle.fuzz.decoders import TARGETS
from wasabipaddle.fuzz.mutation import make_input

__all__ = ["BrokenInput", "DecodingResult", "check_input", "fuzz_decoders", "keep"]

# Faults after which a run ends.
MAX_FAULTS = 20
NAME_DIGITS = 10


@attrs.frozen(kw_only=True)
class BrokenInput:
    """An input for which a decoder raised an error that it must not raise.

    Parameters
    ----------
    target : str
        Name of the decoder.
    number : int
        Number of the input; it depends on the seed and this number alone.
    data : bytes
        The input.
    error : str
        The error.
    """

    target: str
    number: int
    data: bytes
    error: str


@attrs.frozen(kw_only=True)
class DecodingResult:
    """Number of inputs that were decoded, and the faults found."""

    inputs: int
    faults: tuple[BrokenInput, ...] = ()


def fuzz_decoders(*, inputs, seed, targets=TARGETS) -> DecodingResult:
    """Decode inputs, with each decoder in turn.

    Parameters
    ----------
    inputs : int
        Number of inputs; fewer if `MAX_FAULTS` of them are faults.
    seed : int
        Seed from which all inputs follow.
    targets : dict of str to Target
        Decoders by name.
    """
    faults = []
    names = list(targets)
    for number in range(inputs):
        target = targets[names[number % len(names)]]
        rng = random.Random(f"{seed}/{number}")
        data = target.make(rng) if target.make else make_input(rng, target.samples)
        error = check_input(target, data)
        if not error:
            continue
        faults.append(
            BrokenInput(target=target.name, number=number, data=data, error=error)
        )
        if len(faults) >= MAX_FAULTS:
            return DecodingResult(inputs=number + 1, faults=tuple(faults))
    return DecodingResult(inputs=inputs, faults=tuple(faults))


def check_input(target, data) -> str:
    """Decode one input; return the error that was raised, an empty string if none."""
    try:
        target.check(data)
    except Exception as error:  # every exception is a fault of the decoder
        return f"{type(error).__name__}: {error}"[:200]
    return ""


def keep(fault, directory) -> pathlib.Path:
    """Write the input of a fault to a directory and return its path.

    The name begins with that of the decoder, as in the corpus of the tests.
    """
    digest = hashlib.sha256(fault.data).hexdigest()[:NAME_DIGITS]
    path = pathlib.Path(directory) / f"{fault.target}-{digest}.bin"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(fault.data)
    return path
