"""Record of the executions on the stand-ins, from which a verdict is computed.

The record is independent of the system under test: workers and endpoints record
their executions, and the test driver records what callers were told.
"""

import enum

import attrs

from wasabipaddle.documents import Resources

__all__ = [
    "CutOff",
    "CutOffCause",
    "Discard",
    "Execution",
    "Ledger",
    "LedgerRecord",
    "Resized",
    "WorkKind",
    "merge_records",
]


class WorkKind(enum.Enum):
    """Kind of recorded work."""

    TASK = "task"
    REQUEST = "request"


class Discard(enum.Enum):
    """Why the system may never have received the result of a completed execution."""

    VM_GONE = "vm_gone"  # the VM was lost before the acknowledgement
    LEASE = "lease"  # the lease expired before the acknowledgement


class CutOffCause(enum.Enum):
    """Why a request in progress was cut off."""

    CLIENT_CLOSED = "client_closed"
    VM_GONE = "vm_gone"
    PLANNED_STOP = "planned_stop"


@attrs.frozen(kw_only=True)
class Resized:
    """Change of the reservation of an execution."""

    needs: Resources
    time_s: float


@attrs.define(kw_only=True)
class Execution:
    """One execution of a task or request.

    Parameters
    ----------
    work : str
        Name of the executed work: the name given in the payload, else the task or
        request id.
    identifier : str
        Task or request id.
    attempt : int
        Attempt number of a task; 0 for a request.
    place : str
        Name of the VM.
    started_s, ended_s : float
        Loop time; `ended_s` is None while the execution is in progress.
    outcome : str
        Outcome; `completed` for success, empty while the execution is in progress.
    repeatable : bool
        Whether the work may be executed more than once (idempotent requests).
    needs : Resources
        Reservation on the VM at the start; a request reserves one slot.
    resized : list of Resized
        Later reservations in order of time.
    discarded : Discard or None
        Why the system may not have received the result.
    reported : bool
        Whether an answer that reports the end was delivered.
    """

    kind: WorkKind
    work: str
    identifier: str
    attempt: int = 0
    place: str = ""
    started_s: float = 0.0
    ended_s: float | None = None
    outcome: str = ""
    repeatable: bool = False
    needs: Resources = Resources()
    resized: list[Resized] = attrs.Factory(list)
    discarded: Discard | None = None
    reported: bool = False

    @property
    def completed(self) -> bool:
        """Whether the execution ended successfully."""
        return self.outcome == "completed"


@attrs.frozen(kw_only=True)
class CutOff:
    """A request that ended without its answer."""

    request: str
    place: str
    cause: CutOffCause
    time_s: float


@attrs.define(kw_only=True)
class LedgerRecord:
    """Content of a ledger.

    Parameters
    ----------
    accepted : set of str
        Work whose acceptance was acknowledged to a caller.
    cancelled : set of str
        Work that a caller cancelled.
    expected_failures : set of str
        Work that cannot complete and was reported as failed.
    capacities : dict of str to Resources
        Capacity of each worker.
    slots : dict of str to int
        Number of slots of each endpoint.
    pressured : set of str
        Workers whose actual memory usage exceeded their capacity at some time.
    """

    accepted: set[str] = attrs.Factory(set)
    cancelled: set[str] = attrs.Factory(set)
    expected_failures: set[str] = attrs.Factory(set)
    executions: list[Execution] = attrs.Factory(list)
    cut_offs: list[CutOff] = attrs.Factory(list)
    capacities: dict[str, Resources] = attrs.Factory(dict)
    slots: dict[str, int] = attrs.Factory(dict)
    pressured: set[str] = attrs.Factory(set)


class Ledger:
    """Ledger shared by the stand-ins of one process."""

    def __init__(self):
        self.record = LedgerRecord()

    def accept(self, work):
        """Record that a caller was told that its work is accepted."""
        self.record.accepted.add(work)

    def cancel(self, work):
        """Record that a caller cancelled its work."""
        self.record.cancelled.add(work)

    def expect_failure(self, work):
        """Record that work cannot complete and was reported as failed."""
        self.record.expected_failures.add(work)

    def start(self, execution):
        """Record the start of an execution."""
        self.record.executions.append(execution)

    def resize(self, execution, *, needs, time_s):
        """Record a changed reservation of an execution."""
        execution.resized.append(Resized(needs=needs, time_s=time_s))

    def end(self, execution, *, outcome, time_s):
        """Record the end of an execution."""
        execution.outcome = outcome
        execution.ended_s = time_s

    def cut_off(self, request, *, place, cause, time_s):
        """Record a request that ended without its answer."""
        entry = CutOff(request=request, place=place, cause=cause, time_s=time_s)
        self.record.cut_offs.append(entry)

    def record_memory_pressure(self, place):
        """Record that the actual memory usage of a worker exceeds its capacity."""
        self.record.pressured.add(place)


def merge_records(records) -> LedgerRecord:
    """Merge the records of several processes on one machine.

    The loop times of all processes must come from the same monotonic clock.
    """
    merged = LedgerRecord()
    for record in records:
        merged.accepted |= record.accepted
        merged.cancelled |= record.cancelled
        merged.expected_failures |= record.expected_failures
        merged.executions += record.executions
        merged.cut_offs += record.cut_offs
        merged.capacities |= record.capacities
        merged.slots |= record.slots
        merged.pressured |= record.pressured
    return merged
