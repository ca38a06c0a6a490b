"""Decoders to fuzz: what they get, and what must hold for their results."""

import attrs
import msgspec

from wasabipaddle import messages
from wasabipaddle.cell.distribution import decompress
from wasabipaddle.cell.leader_records import decode_leader, decode_term_number
from wasabipaddle.documents import decode_stored
from wasabipaddle.exceptions import WasabipaddleError
from wasabipaddle.fuzz.requests import check_connection, make_requests
from wasabipaddle.fuzz.samples import SAMPLES
from wasabipaddle.fuzz.stubs import (
    JOB,
    RUNNER,
    BrokenResult,
    StubClient,
    StubReports,
    make_scheduler,
    require,
    run_now,
)
from wasabipaddle.interfaces import Entry, Inventory, OrderReply, Put
from wasabipaddle.interfaces.http import decode_failure
from wasabipaddle.jobs import (
    Job,
    JobProgress,
    Limits,
    Pool,
    Queue,
    RecordedRunner,
    RunnerEntry,
    TaskId,
    decode_fleet,
    decode_job,
    decode_progress,
    encode_fleet,
    encode_job,
    encode_progress,
)
from wasabipaddle.jobs.addresses import is_callable_address
from wasabipaddle.jobs.checks import find_job_problem
from wasabipaddle.jobs.decoding import DECODING_ERRORS, MAX_INTEGER
from wasabipaddle.jobs.maintenance import (
    Machine,
    MaintenanceWave,
    WaveRecord,
    decode_wave_record,
    encode_wave_record,
)
from wasabipaddle.journal import decode_batch
from wasabipaddle.leadership.record import decode_leader_record
from wasabipaddle.messages import jobs as job_messages
from wasabipaddle.platform import (
    REGISTRY_PREFIX,
    WAVE_PREFIX,
    PlatformAdvice,
    PlatformMachines,
    PlatformRunner,
    PlatformStore,
    decode_configuration,
    decode_runner,
    decode_wave,
)
from wasabipaddle.platform.callers import MAX_WAIT_S, read_wait_s
from wasabipaddle.platform.jobs import decode_spec
from wasabipaddle.platform.tasks import decode_task, encode_task
from wasabipaddle.settings import CellPeer

__all__ = ["TARGETS", "BrokenResult", "Target"]

# Larger jobs are not planned, to keep the time of one input short.
MAX_PLANNED_TASKS = 200
MAX_INT64 = 2**63 - 1
REVISION = 7
TASK = TaskId(JOB.id, 0, 0, 0)
MESSAGE_TYPES = tuple(
    found
    for module in (messages, job_messages)
    for name in module.__all__
    if isinstance(found := getattr(module, name), type) and attrs.has(found)
)


@attrs.frozen(kw_only=True)
class Target:
    """One decoder.

    Parameters
    ----------
    name : str
        Name in reports and in the names of kept inputs.
    check : callable
        Decodes bytes and checks the result; raises for a fault.
    samples : tuple
        Valid JSON values from which inputs are made.
    make : callable or None
        Makes an input from a source of random numbers, in place of the samples.
    """

    name: str
    check: object
    samples: tuple = ()
    make: object = None


def _require_usable(value, value_type):
    """Check that a result has the declared types, and numbers that JSON keeps."""
    encoded = msgspec.json.encode(value)
    again = msgspec.json.decode(encoded, type=value_type)
    require(again == value, f"{value_type} is not read back")
    for found in _numbers(msgspec.json.decode(encoded)):
        require(abs(found) <= MAX_INTEGER, f"a number of {value_type} is too large")


def _numbers(value):
    if isinstance(value, int | float):
        yield value
    elif isinstance(value, dict | list):
        for item in value.values() if isinstance(value, dict) else value:
            yield from _numbers(item)


def _entry(data):
    return Entry(key=REGISTRY_PREFIX + "i-1", value=data, revision=REVISION)


def _check_registry(data):
    runner = decode_runner(_entry(data))
    if runner is None:
        return
    require(is_callable_address(runner.address), "an address cannot be called")
    _require_usable(runner, RunnerEntry)
    rows = [RecordedRunner.create(runner)]
    require(decode_fleet(encode_fleet(rows)) == rows, "a row is not read back")
    _plan(make_scheduler(runner=runner))


def _check_fleet(data):
    rows = decode_fleet(data)
    _require_usable(rows, list[RecordedRunner])
    require(decode_fleet(encode_fleet(rows)) == rows, "the record is not read back")
    for row in rows:
        if row.address:
            _plan(make_scheduler(runner=row.entry))


def _check_job(data):
    job = decode_job(data)
    if job is not None:
        _check_planned_job(job)


def _check_planned_job(job):
    _require_usable(job, Job)
    require(not find_job_problem(job), "a job cannot be planned")
    require(decode_job(encode_job(job)) == job, "a job is not read back")
    tasks = sum(step.count for step in job.spec.steps) * job.spec.occurrences
    if tasks <= MAX_PLANNED_TASKS:
        _plan(make_scheduler(job=job))


def _check_progress(data):
    progress = decode_progress(data)
    if progress is None:
        return
    _require_usable(progress, JobProgress)
    stored = encode_progress(progress)
    require(decode_progress(stored) == progress, "progress is not read back")
    _plan(make_scheduler(progress=progress))


def _check_spec(data):
    spec = decode_spec(data)
    if spec.is_ok():
        _check_planned_job(attrs.evolve(JOB, spec=spec.ok()))


def _check_configuration(data):
    decoded = decode_configuration(data)
    if decoded.is_err():
        return
    configuration = decoded.ok()
    _require_usable(configuration.version, int)
    _require_usable(configuration.queues, tuple[Queue, ...])
    _require_usable(configuration.pools, dict[str, Pool])
    _require_usable(configuration.limits, Limits)
    configuration.match("h", "/q/1")
    scheduler = make_scheduler()
    scheduler.configure(configuration)
    _plan(scheduler)
    for queue in configuration.queues:
        job = Job(id=JOB.id, policy=queue, accepted_ms=1, spec=JOB.spec)
        require(not find_job_problem(job), "a queue makes jobs unreadable")
        _check_planned_job(job)


def _plan(scheduler):
    """Run one round of planning, and encode what it sends and stores."""
    scheduler.advance(2.0)
    scheduler.plan(2.0)
    scheduler.count_waiting()
    for runner in scheduler.state.runners.values():
        scheduler.leases.extend_by_start(runner, 2.0)
        until_ms = scheduler.leases.extend_by_inventory(runner, 2.0)
        require(abs(until_ms) <= MAX_INT64, "a lease is beyond 64 bits")
        msgspec.json.encode([until_ms, runner.entry.leaves_in_s])
    for entry in scheduler.state.jobs.values():
        progress = scheduler.lifecycle.progress(entry)
        stored = decode_progress(encode_progress(progress))
        require(stored == progress, "stored progress is not read back")
    rows = scheduler.runners_to_record(2.0, with_waits=True, term=1)
    require(decode_fleet(encode_fleet(rows)) == rows, "the fleet is not read back")


def _check_leader(data):
    leader = decode_leader(_entry(data), StubReports())
    if is_callable_address(leader.address):
        CellPeer.parse(leader.address)


def _check_term(data):
    number = decode_term_number(_entry(data), StubReports())
    require(0 <= number <= REVISION, "the number of a term is out of range")


def _check_shard_leader(data):
    record = decode_leader_record(_entry(data))
    msgspec.json.encode(record)


def _check_messages(data):
    for message_type in MESSAGE_TYPES:
        found = messages.decode(data, message_type)
        if found.is_ok():
            again = messages.decode(messages.encode(found.ok()), message_type)
            require(again == found, f"{message_type.__name__} is not read back")


def _check_runner(data):
    for status in (200, 409, 421):
        runner = PlatformRunner(runner="i-1", address=RUNNER.address)
        runner.client = StubClient(raw=data, status=status)
        stopped = run_now(runner.stop(TASK, 1, epoch=1, timeout_s=1.0))
        if stopped.is_ok():
            _require_usable(stopped.ok(), OrderReply)
        inventory = run_now(
            runner.inventory(
                epoch=1, acknowledged=0, lease_until_ms=0, wait_s=0.0, timeout_s=1.0
            )
        )
        if inventory.is_ok():
            _require_usable(inventory.ok(), Inventory)
            scheduler = make_scheduler()
            state = scheduler.state.runners[RUNNER.id]
            for _ in range(2):
                scheduler.reports.process_inventory(state, inventory.ok(), 1.5)
            _plan(scheduler)


def _check_store(data):
    store = PlatformStore(address=RUNNER.address)
    store.client = StubClient(raw=data)
    puts = (Put(key="k", value=b""),)
    for call in (
        store.get("k"),
        store.list("k"),
        store.follow("k", after_revision=1, wait_s=0.0),
        store.commit(puts=puts),
        store.grant_lease(1.0),
    ):
        result = run_now(call)
        found = result.ok() if result.is_ok() else None
        entries = getattr(found, "entries", None) or getattr(found, "changes", ())
        for entry in entries:
            entry.key.startswith(REGISTRY_PREFIX)
    store.client = StubClient(raw=data, status=412)
    run_now(store.commit(puts=puts))


def _check_advice(data):
    advice = PlatformAdvice(address=RUNNER.address)
    advice.client = StubClient(raw=data)
    answer = run_now(
        advice.ask(job=JOB.id, occurrence=0, step=0, runners=["i-1"], timeout_s=1.0)
    )
    if answer.is_ok():
        found = answer.ok()
        reply = job_messages.AdviceReply(tickets=found.tickets, valid_s=found.valid_s)
        again = messages.decode(messages.encode(reply), job_messages.AdviceReply)
        require(again.ok() == reply, "an answer is not read back")


def _check_wave(data):
    wave = decode_wave(Entry(key=f"{WAVE_PREFIX}7", value=data, revision=REVISION))
    if wave.is_ok():
        _require_usable(wave.ok(), MaintenanceWave)
        require(wave.ok().cap >= 0, "a cap is negative")


def _check_wave_record(data):
    record = decode_wave_record(data)
    if record is not None:
        _require_usable(record, WaveRecord)
        again = decode_wave_record(encode_wave_record(record))
        require(again == record, "a record of a wave is not read back")


def _check_machines(data):
    for status in (200, 409):
        machines = PlatformMachines(address=RUNNER.address)
        machines.client = StubClient(raw=data, status=status)
        listed = run_now(machines.list_machines(timeout_s=1.0))
        if listed.is_ok():
            _require_usable(listed.ok(), tuple[Machine, ...])
        call = machines.begin_maintenance("m", 7, holder="p", epoch=1, timeout_s=1.0)
        run_now(call)


def _check_text(data):
    """Check the decoders of strings with the strings in a JSON value."""
    try:
        values = msgspec.json.decode(data)
    except DECODING_ERRORS:
        return
    for value in values if isinstance(values, list) else [values]:
        if is_callable_address(value):
            CellPeer.parse(value)
        if isinstance(value, str):
            require(0 <= read_wait_s(value) <= MAX_WAIT_S, "a wait is out of range")
        try:
            require(decode_task(encode_task(decode_task(value))).index >= 0, "index")
        except (TypeError, ValueError):
            continue


def _check_batch(data):
    try:
        decode_batch(data)
    except WasabipaddleError:
        return


def _check_documents(data):
    decode_stored(data)
    decode_failure(data)
    decompress(data)


CHECKS = {
    "registry": _check_registry,
    "fleet": _check_fleet,
    "job": _check_job,
    "progress": _check_progress,
    "spec": _check_spec,
    "configuration": _check_configuration,
    "leader": _check_leader,
    "term": _check_term,
    "shard_leader": _check_shard_leader,
    "messages": _check_messages,
    "runner": _check_runner,
    "store": _check_store,
    "advice": _check_advice,
    "wave": _check_wave,
    "wave_record": _check_wave_record,
    "machines": _check_machines,
    "text": _check_text,
    "batch": _check_batch,
    "documents": _check_documents,
}
TARGETS = {
    name: Target(name=name, check=check, samples=SAMPLES[name])
    for name, check in CHECKS.items()
}
TARGETS["connection"] = Target(
    name="connection", check=check_connection, make=make_requests
)
