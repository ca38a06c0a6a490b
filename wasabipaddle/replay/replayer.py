"""Replay of a trace on an in-memory cell in virtual time."""

import asyncio
import functools
import json
import random

import attrs

from wasabipaddle.clock import run_virtual
from wasabipaddle.documents import parse_document
from wasabipaddle.exceptions import ErrorKind, Failure, Outcome, WasabipaddleError
from wasabipaddle.interfaces import VmStatus
from wasabipaddle.messages import CancelRun, RunOutcome, StopRun, WaitRun
from wasabipaddle.replay import trace as lines
from wasabipaddle.replay.cell import DeploymentCell
from wasabipaddle.standins import compute_verdict

__all__ = ["Figures", "replay_trace"]

SETTLE_S = 8.0
RETRY_PAUSE_S = 0.25
SUBMIT_TIMEOUT_S = 3.0
SUBMIT_RETRY_WINDOW_S = 30.0
RUN_END_TIMEOUT_S = 120.0
LONG_POLL_S = 10.0
MS_PER_S = 1000


@attrs.define(kw_only=True)
class Figures:
    """Counters of a replay.

    Parameters
    ----------
    values : dict of str to float
        Values by the name of the figure, which `expect` lines refer to.
    """

    values: dict[str, float] = attrs.field(factory=dict)

    def count(self, name):
        """Increment a figure."""
        self.values[name] = self.values.get(name, 0) + 1


def replay_trace(trace, settings, *, seed) -> Figures:
    """Replay a trace and return its figures.

    Raises
    ------
    WasabipaddleError
        If a document is not valid, or a step names something that does not exist.
    """
    return run_virtual(_TraceReplayer(trace=trace, settings=settings, seed=seed).run())


class _TraceReplayer:
    def __init__(self, *, trace, settings, seed):
        self.trace = trace
        self.cell = DeploymentCell(settings=settings, seed=seed)
        self.rng = random.Random(seed)
        self.figures = Figures()
        self.documents = {}
        self.runs = {}
        self.waits_s = []
        self.refused = set()
        self.unhealthy = set()
        self.tasks = set()
        self.errors = []
        self.requests = 0

    async def run(self):
        await self.cell.start()
        await asyncio.sleep(SETTLE_S)
        start = asyncio.get_running_loop().time()
        for step in self.trace.steps:
            due = start + step.at_ms / MS_PER_S
            await asyncio.sleep(max(due - asyncio.get_running_loop().time(), 0.0))
            await self._apply_step(step)
        while self.tasks:
            await asyncio.wait(self.tasks)
        for error in self.errors:
            raise error
        return self._collect_figures()

    @functools.singledispatchmethod
    async def _apply_step(self, step):
        raise TypeError(f"no handler for steps of type {type(step).__name__}")

    @_apply_step.register
    async def _(self, step: lines.Document):
        text = (self.trace.directory / step.file).read_text(encoding="utf-8")
        document = parse_document(text, step.file)
        if document.is_err():
            raise WasabipaddleError(document.unwrap_err())
        document = document.unwrap()
        self.documents[document.service] = document
        await self.cell.write_document(text, document.service)

    @_apply_step.register
    async def _(self, step: lines.Request):
        self._spawn(self._repeat(step, self._request))

    @_apply_step.register
    async def _(self, step: lines.Run):
        self._spawn(self._repeat(step, self._submit))

    @_apply_step.register
    async def _(self, step: lines.Cancel):
        self._spawn(self._end_run(step.key, lambda run: CancelRun(run=run)))

    @_apply_step.register
    async def _(self, step: lines.Stop):
        grace_s = step.grace_ms / MS_PER_S
        self._spawn(
            self._end_run(step.key, lambda run: StopRun(run=run, grace_s=grace_s))
        )

    @_apply_step.register
    async def _(self, step: lines.Fault):
        targets = {"store": self.cell.store, "vm_list": self.cell.vms}
        targets.update(self.cell.workers)
        targets.update(self.cell.endpoints)
        _lookup(targets, step.target).set_faults(**step.changes)

    @_apply_step.register
    async def _(self, step: lines.VmStatusChange):
        _lookup(self.cell.vms.entries, step.vm)
        status = VmStatus(step.status)
        self.cell.vms.set_status(step.vm, status)
        if status is VmStatus.LEAVING and step.vm in self.cell.endpoints:
            self.cell.endpoints[step.vm].set_faults(draining=True)
        if status is VmStatus.GONE and step.vm in self.cell.workers:
            self.cell.workers[step.vm].set_faults(gone=True)

    @_apply_step.register
    async def _(self, step: lines.Partition):
        inside = [
            n for n, c in self.cell.data_centre_of.items() if c in step.data_centres
        ]
        outside = [n for n in self.cell.data_centre_of if n not in inside]
        self.cell.cut(inside, outside)
        regions = {self.cell.region_of(n) for n in inside}
        if self.cell.deployment.store_region not in regions:
            self.cell.set_store_partition(inside, True)

    @_apply_step.register
    async def _(self, step: lines.Heal):
        self.cell.heal()

    @_apply_step.register
    async def _(self, step: lines.Process):
        name = step.process
        if step.action == "start":
            _lookup(self.cell.data_centre_of, name)
            await self.cell.start_process(name)
            self.unhealthy.discard(name)
            return
        process = _lookup(self.cell.processes, name)
        if step.action == "resume":
            await process.resume()
            self.unhealthy.discard(name)
            return
        self.unhealthy.add(name)
        if step.action == "kill":
            await self.cell.kill(name)
        elif step.action == "pause":
            await process.pause()
        else:
            self._spawn(self._drain(name, process))

    async def _drain(self, name, process):
        await process.drain()
        del self.cell.processes[name]

    # Load

    async def _repeat(self, step, action):
        for number in range(step.count):
            self._spawn(action(step, number))
            await asyncio.sleep(step.every_ms / MS_PER_S)

    async def _request(self, step, number):
        self.requests += 1
        work = f"request-{self.requests}"
        document = self._document(step.service)
        body = json.dumps(
            {
                "work": work,
                "service_s": step.service_ms / MS_PER_S,
                "answer_bytes": step.answer_bytes,
                "idempotent": document.request.idempotent,
            }
        )
        result = await self.cell.request(
            self._choose_process(),
            step.service,
            work,
            body.encode(),
            deadline_s=step.deadline_ms / MS_PER_S,
        )
        self.figures.count("requests")
        if result.is_ok():
            self.figures.count("requests_answered")
            self.cell.ledger.accept(work)
            return
        self._record_refusal(result.unwrap_err(), [work], "requests")

    async def _submit(self, step, number):
        key = f"{step.key}-{number}" if step.count > 1 else step.key
        document = self._document(step.service)
        run_s = None if step.run_ms is None else step.run_ms / MS_PER_S
        payload = json.dumps({"work": key, "run_s": run_s})
        work_ids = [f"{key}/{i}" for i in range(document.run.tasks)]
        loop = asyncio.get_running_loop()
        started, in_doubt = loop.time(), False
        self.figures.count("runs")
        while True:
            result = await self.cell.submit(
                self._choose_process(),
                step.service,
                key,
                payload,
                timeout_s=SUBMIT_TIMEOUT_S,
            )
            if result.is_ok():
                break
            failure = result.unwrap_err()
            in_doubt = in_doubt or failure.outcome is not Outcome.NOT_RUN
            waited = loop.time() - started
            if not failure.response.retry or waited > SUBMIT_RETRY_WINDOW_S:
                work_ids = [] if in_doubt else work_ids
                self._record_refusal(failure, work_ids, "runs")
                return
            await asyncio.sleep(RETRY_PAUSE_S)
        self.figures.count("runs_accepted")
        self.runs[key] = (result.unwrap().run, work_ids)
        for work in work_ids:
            self.cell.ledger.accept(work)
        if run_s is not None:
            await self._wait_for_end(key)

    async def _wait_for_end(self, key):
        run, work_ids = self.runs[key]
        give_up_at = asyncio.get_running_loop().time() + RUN_END_TIMEOUT_S
        while asyncio.get_running_loop().time() < give_up_at:
            result = await self.cell.operate(
                self._choose_process(),
                WaitRun(run=run, wait_s=LONG_POLL_S),
                timeout_s=2 * LONG_POLL_S,
            )
            if result.is_ok() and result.unwrap().outcome is not None:
                self._record_end(result.unwrap().outcome, work_ids)
                return
            await asyncio.sleep(RETRY_PAUSE_S)
        self.figures.count("runs_unended")

    def _record_end(self, outcome, work_ids):
        self.figures.count(f"runs_{outcome.value}")
        if outcome in (RunOutcome.CANCELLED, RunOutcome.STOPPED):
            for work in work_ids:
                self.cell.ledger.cancel(work)

    async def _end_run(self, key, make_message):
        run, _ = _lookup(self.runs, key)
        result = await self.cell.operate(self._choose_process(), make_message(run))
        if result.is_ok() and isinstance(make_message(run), StopRun):
            await self._wait_for_end(key)

    def _record_refusal(self, failure, work_ids, name):
        self.figures.count(f"{name}_refused")
        self.figures.count(f"{name}_{failure.kind.value}")
        if failure.outcome is Outcome.NOT_RUN:
            self.refused.update(work_ids)

    # Helpers

    def _document(self, service):
        return _lookup(self.documents, service)

    def _choose_process(self):
        """Return a random process that the load balancer considers healthy."""
        healthy = self.cell.processes.keys() - self.unhealthy
        return self.rng.choice(sorted(healthy))

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.errors.append(task.exception())

    def _collect_figures(self):
        record = self.cell.ledger.record
        values = self.figures.values
        values.update(attrs.asdict(compute_verdict(record)))
        executed = {e.work for e in record.executions}
        values["refused_not_run_false"] = len(self.refused & executed)
        revisions = {p.relay.table.revision for p in self.cell.processes.values()}
        values["revisions_apart"] = len(revisions) - 1
        return self.figures


def _lookup(mapping, name):
    if name not in mapping:
        detail = f"the trace refers to {name}, which does not exist"
        failure = Failure(kind=ErrorKind.INVALID_REQUEST, detail=detail)
        raise WasabipaddleError(failure)
    return mapping[name]
