"""Entries of runners in the registry of the platform."""

import attrs
import msgspec

from wasabipaddle.jobs.addresses import is_callable_address
from wasabipaddle.jobs.decoding import (
    DECODING_ERRORS,
    ignore_report,
    integer,
    number,
    text,
)

__all__ = [
    "Capacity",
    "RecordedRunner",
    "RunnerEntry",
    "decode_fleet",
    "encode_fleet",
]


@attrs.frozen(kw_only=True)
class Capacity:
    """Capacity of a runner: `cpu` in thousandths of a core, `memory_mb`, and `gpus`."""

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def holds(self, cpu, memory_mb, gpus) -> bool:
        """Return whether a reservation fits into the whole capacity."""
        return self.cpu >= cpu and self.memory_mb >= memory_mb and self.gpus >= gpus


@attrs.frozen(kw_only=True)
class RunnerEntry:
    """One runner in the registry.

    Parameters
    ----------
    id, address, data_centre, pool : str
        Identifier, address as `host:port`, data centre and pool.
    capacity : Capacity
        Capacity of the runner.
    labels : tuple of str
        Labels of the runner, such as its kind; the last one is its rack.
    draining : bool
        Whether the runner is about to exit and gets no new work.
    leaves_in_s : float
        Least time until a draining runner exits, in seconds.
    cold_s : float
        Remaining time for which the runner is slow after its start, in seconds.
    incarnation : int
        Start time of the runner in Unix milliseconds, which identifies the incarnation.
    """

    id: str
    address: str
    data_centre: str
    pool: str
    capacity: Capacity
    labels: tuple[str, ...] = ()
    draining: bool = False
    leaves_in_s: float = 0.0
    cold_s: float = 0.0
    incarnation: int = 0

    @property
    def rack(self) -> str:
        """Rack of the runner, empty if it has no labels."""
        return self.labels[-1] if self.labels else ""


@attrs.frozen(kw_only=True)
class RecordedRunner(RunnerEntry):
    """Runner in the stored fleet record.

    A runner of which only the identifier is known has no address. If `id` is empty as
    well, the row stands for any number of unknown runners.

    Parameters
    ----------
    wait_s : float or None
        For a runner that has not answered the dispatcher which wrote the record: time
        in seconds until the leases of earlier dispatchers have certainly expired.
        None if the runner may have work of that dispatcher.
    jobs : tuple of str or None
        For a runner that leaves: identifiers of all jobs that may have runs, or ends
        without an acknowledgement, on the runner. None if any job may.
    term : int
        Term of the dispatcher that recorded the wait or the jobs. The dispatcher of a
        later term may have given the runner work without a new record, if it is of
        another build.
    """

    wait_s: float | None = None
    jobs: tuple[str, ...] | None = None
    term: int = 0

    @classmethod
    def create(cls, entry, *, wait_s=None, jobs=None, term=0):
        """Return the record of a runner with this registry entry."""
        return cls(**_entry_fields(entry), wait_s=wait_s, jobs=jobs, term=term)

    @property
    def entry(self) -> RunnerEntry:
        """Registry entry of the runner."""
        return RunnerEntry(**_entry_fields(self))

    @property
    def jobs_bytes(self) -> int:
        """Size of the encoded names of jobs in bytes."""
        return len(msgspec.json.encode(self.jobs)) if self.jobs else 0

    @classmethod
    def create_identified(cls, runner_id="", *, wait_s=None, term=0):
        """Return the record of a runner of which only the identifier is known."""
        return cls(
            id=runner_id,
            address="",
            data_centre="",
            pool="",
            capacity=Capacity(),
            wait_s=wait_s,
            term=term,
        )


def encode_fleet(rows) -> bytes:
    """Encode a list of `RecordedRunner` for the store."""
    return msgspec.json.encode(rows)


def decode_fleet(data, *, report=ignore_report) -> list[RecordedRunner]:
    """Decode the stored fleet record.

    Of a row that is not readable, the fields that identify the runner are kept: with
    identifier, address and pool, the runner can be asked for its runs; with the
    identifier alone, a dispatcher can only wait for it. A row or a record without any
    of them stands for unknown runners. Such rows have no wait, so that a dispatcher
    waits for them as long as for a runner that may have work.

    Parameters
    ----------
    report : callable
        Called with the error of each row that is not readable.
    """
    try:
        rows = msgspec.json.decode(data)
        if not isinstance(rows, list):
            raise TypeError("the fleet record is not a list")
    except DECODING_ERRORS as error:
        report(repr(error))
        return [RecordedRunner.create_identified()]
    return [_decode_row(row, report) for row in rows]


def _decode_row(row, report):
    try:
        return _decode_fields(row)
    except DECODING_ERRORS as error:
        report(repr(error))
    for decode in (_decode_contact, _decode_identifier):
        try:
            return decode(row)
        except DECODING_ERRORS:
            continue
    return RecordedRunner.create_identified()


def _decode_fields(row):
    """Return a complete row."""
    wait_s = row.get("wait_s")
    jobs, capacity = row.get("jobs"), row["capacity"]
    if type(row["draining"]) is not bool:
        raise TypeError("`draining` is not a boolean")
    named = row["address"] != ""
    if named and not is_callable_address(row["address"]):
        raise ValueError("the address cannot be called")
    return RecordedRunner(
        id=text(row["id"], empty=not named),
        address=row["address"],
        data_centre=text(row["data_centre"], empty=not named),
        pool=text(row["pool"], empty=not named),
        capacity=Capacity(
            cpu=integer(capacity["cpu"], least=0),
            memory_mb=integer(capacity["memory_mb"], least=0),
            gpus=integer(capacity["gpus"], least=0),
        ),
        labels=tuple(text(label, empty=True) for label in row["labels"]),
        draining=row["draining"],
        leaves_in_s=number(row["leaves_in_s"]),
        cold_s=number(row["cold_s"]),
        # Earlier versions stored a fraction if the registry entry had one.
        incarnation=int(number(row["incarnation"])),
        wait_s=None if wait_s is None else number(wait_s, least=0),
        jobs=None if jobs is None else _decode_jobs(jobs),
        term=integer(row.get("term", 0), least=0),
    )


def _decode_jobs(jobs):
    if not isinstance(jobs, list):
        raise TypeError("`jobs` is not a list")
    return tuple(text(job) for job in jobs)


def _decode_contact(row):
    """Return a row with identifier, address and pool."""
    if not is_callable_address(row["address"]):
        raise ValueError("the address cannot be called")
    return RecordedRunner(
        id=text(row["id"]),
        address=row["address"],
        data_centre="",
        pool=text(row["pool"]),
        capacity=Capacity(),
    )


def _decode_identifier(row):
    """Return a row with the identifier alone."""
    return RecordedRunner.create_identified(text(row["id"]))


def _entry_fields(entry):
    return {f.name: getattr(entry, f.name) for f in attrs.fields(RunnerEntry)}
