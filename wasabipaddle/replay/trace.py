"""Trace files: one JSON object per line.

The key `kind` selects the class of a line, and the other keys are its fields. Empty
lines and lines that start with `#` are ignored. `at_ms` is the time since the start of
the replay.
"""

import json
import pathlib

import attrs
import msgspec
from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = ["LINE_TYPES", "Expect", "Trace", "load_trace"]

MAX_REPEATS = 100_000


@attrs.frozen(kw_only=True)
class Document:
    """Apply a document file, whose path is relative to the directory of the trace."""

    at_ms: int
    file: str


@attrs.frozen(kw_only=True)
class Request:
    """Send requests.

    Parameters
    ----------
    count, every_ms : int
        Number of requests and interval between them.
    service_ms : int
        Processing time of a request at the endpoint.
    """

    at_ms: int
    service: str
    count: int = 1
    every_ms: int = 0
    service_ms: int = 50
    answer_bytes: int = 100
    deadline_ms: int = 20_000


@attrs.frozen(kw_only=True)
class Run:
    """Submit runs.

    Parameters
    ----------
    key : str
        Idempotency key; if `count` is above 1, the runs have the keys `{key}-{n}` with
        `n` from 0.
    count, every_ms : int
        Number of runs and interval between them.
    run_ms : int or None
        Run time of each task; with None the tasks continue until the run is stopped.
    """

    at_ms: int
    service: str
    key: str
    count: int = 1
    every_ms: int = 0
    run_ms: int | None = 1000


@attrs.frozen(kw_only=True)
class Cancel:
    """Cancel a run by its key."""

    at_ms: int
    key: str


@attrs.frozen(kw_only=True)
class Stop:
    """Stop a run gracefully by its key."""

    at_ms: int
    key: str
    grace_ms: int = 10_000


@attrs.frozen(kw_only=True)
class Fault:
    """Change the faults of `store`, `vm_list`, a worker or an endpoint.

    Parameters
    ----------
    changes : dict
        Values by field of `StoreFaults`, `VmListFaults`, `WorkerFaults` or
        `EndpointFaults`.
    """

    at_ms: int
    target: str
    changes: dict[str, bool | float | str]


@attrs.frozen(kw_only=True)
class Process:
    """Kill, start, pause, resume or drain an entry process.

    Parameters
    ----------
    action : {"kill", "start", "pause", "resume", "drain"}
        What happens to the process.
    """

    at_ms: int
    process: str
    action: str


@attrs.frozen(kw_only=True)
class VmStatusChange:
    """Change the status of a VM in the VM list to live, leaving or gone."""

    at_ms: int
    vm: str
    status: str


@attrs.frozen(kw_only=True)
class Partition:
    """Partition the network between data centres.

    Parameters
    ----------
    data_centres : tuple of str
        Data centres that are cut off from all others. They are also cut off from the
        store, unless one of them is in the region of the store.
    """

    at_ms: int
    data_centres: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Heal:
    """Heal every network partition."""

    at_ms: int


@attrs.frozen(kw_only=True)
class Expect:
    """Expected outcome at the end of the trace.

    Parameters
    ----------
    figure : str
        Name of a figure of the replay.
    comparison : {"<=", ">=", "=="}
        How the figure must compare with `value`.
    """

    figure: str
    comparison: str
    value: float


LINE_TYPES = {
    "document": Document,
    "request": Request,
    "run": Run,
    "cancel": Cancel,
    "stop": Stop,
    "fault": Fault,
    "process": Process,
    "vm": VmStatusChange,
    "part": Partition,
    "heal": Heal,
    "expect": Expect,
}
COMPARISONS = ("<=", ">=", "==")
ACTIONS = ("kill", "start", "pause", "resume", "drain")


@attrs.frozen(kw_only=True)
class Trace:
    """Validated content of a trace file.

    Parameters
    ----------
    steps : tuple
        Lines other than `expect`, ordered by time.
    expects : tuple of Expect
        Expected outcomes in the order of the file.
    directory : pathlib.Path
        Directory of the trace file, which paths of documents are relative to.
    """

    steps: tuple
    expects: tuple[Expect, ...]
    directory: pathlib.Path


def load_trace(path) -> Result[Trace, Failure]:
    """Read and validate a trace file.

    Returns
    -------
    result.Result
        The trace, or an `Err` of kind `invalid_request` that names the file, and the
        number of the line if one line is malformed.
    """
    path = pathlib.Path(path)
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        return _invalid(f"{path}: {error}")
    steps, expects = [], []
    for number, line in enumerate(lines, start=1):
        if not line.strip() or line.startswith("#"):
            continue
        read = _read_line(line)
        if isinstance(read, str):
            return _invalid(f"{path}:{number}: {read}")
        (expects if isinstance(read, Expect) else steps).append(read)
    if not expects:
        return _invalid(
            f"{path}: no line of kind expect; the replay would check nothing"
        )
    steps.sort(key=lambda s: s.at_ms)
    return Ok(Trace(steps=tuple(steps), expects=tuple(expects), directory=path.parent))


def _read_line(text):
    """Return the parsed line, or the reason why it is not valid."""
    try:
        data = json.loads(text)
    except (ValueError, RecursionError) as error:
        return f"not a JSON object: {error}"
    if not isinstance(data, dict):
        return "not a JSON object"
    line_type = LINE_TYPES.get(data.pop("kind", None))
    if line_type is None:
        return f"kind must be one of {', '.join(LINE_TYPES)}"
    names = {f.name for f in attrs.fields(line_type)}
    unknown = sorted(data.keys() - names)
    if unknown:
        return f"unknown key {unknown[0]}; allowed are {', '.join(sorted(names))}"
    try:
        read = msgspec.convert(data, line_type)
    except msgspec.ValidationError as error:
        return str(error)
    return _validation_error(read) or read


def _validation_error(line):
    if getattr(line, "at_ms", 0) < 0:
        return "at_ms must not be negative"
    if not 1 <= getattr(line, "count", 1) <= MAX_REPEATS:
        return f"count must be from 1 to {MAX_REPEATS}"
    if getattr(line, "every_ms", 0) < 0:
        return "every_ms must not be negative"
    if isinstance(line, Expect) and line.comparison not in COMPARISONS:
        return f"comparison must be one of {', '.join(COMPARISONS)}"
    if isinstance(line, Process) and line.action not in ACTIONS:
        return f"action must be one of {', '.join(ACTIONS)}"
    return None


def _invalid(detail):
    return Err(Failure(kind=ErrorKind.INVALID_REQUEST, detail=detail))
