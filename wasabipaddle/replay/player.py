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

__all__ = ["Figures", "play"]

SETTLE_S = 8.0
RETRY_S = 0.25
SUBMIT_TIMEOUT_S = 3.0
SUBMIT_PATIENCE_S = 30.0
END_TIMEOUT_S = 120.0
WAIT_S = 10.0
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


def play(trace, settings, *, seed) -> Figures:
    """Replay a trace and return its figures.

    Raises
    ------
    WasabipaddleError
        If a document is not valid, or a step names something that does not exist.
    """
    return run_virtual(_Player(trace=trace, settings=settings, seed=seed).run())


class _Player:
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
        self.problems = []
        self.requests = 0

    async def run(self):
        await self.cell.start()
        await asyncio.sleep(SETTLE_S)
        start = asyncio.get_running_loop().time()
        for step in self.trace.steps:
            due = start + step.at_ms / MS_PER_S
            await asyncio.sleep(max(due - asyncio.get_running_loop().time(), 0.0))
            await self._carry_out(step)
        while self.tasks:
            await asyncio.wait(self.tasks)
        for problem in self.problems:
            raise problem
        return self._summary()

    @functools.singledispatchmethod
    async def _carry_out(self, step):
        raise TypeError(f"no handler for steps of type {type(step).__name__}")

    @_carry_out.register
    async def _(self, step: lines.Document):
        text = (self.trace.directory / step.file).read_text(encoding="utf-8")
        document = parse_document(text, step.file)
        if document.is_err():
            raise WasabipaddleError(document.unwrap_err())
        document = document.unwrap()
        self.documents[document.service] = document
        await self.cell.write_document(text, document.service)

    @_carry_out.register
    async def _(self, step: lines.Request):
        self._spawn(self._repeat(step, self._request))

    @_carry_out.register
    async def _(self, step: lines.Run):
        self._spawn(self._repeat(step, self._submit))

    @_carry_out.register
    async def _(self, step: lines.Cancel):
        self._spawn(self._end(step.key, lambda run: CancelRun(run=run)))

    @_carry_out.register
    async def _(self, step: lines.Stop):
        grace_s = step.grace_ms / MS_PER_S
        self._spawn(self._end(step.key, lambda run: StopRun(run=run, grace_s=grace_s)))

    @_carry_out.register
    async def _(self, step: lines.Fault):
        targets = {"store": self.cell.store, "vm_list": self.cell.vms}
        targets.update(self.cell.workers)
        targets.update(self.cell.endpoints)
        _find(targets, step.target).set_faults(**step.changes)

    @_carry_out.register
    async def _(self, step: lines.VmStatusChange):
        _find(self.cell.vms.entries, step.vm)
        status = VmStatus(step.status)
        self.cell.vms.set_status(step.vm, status)
        if status is VmStatus.LEAVING and step.vm in self.cell.endpoints:
            self.cell.endpoints[step.vm].set_faults(draining=True)
        if status is VmStatus.GONE and step.vm in self.cell.workers:
            self.cell.workers[step.vm].set_faults(gone=True)

    @_carry_out.register
    async def _(self, step: lines.Part):
        ours = [n for n, c in self.cell.centre_of.items() if c in step.data_centres]
        others = [n for n in self.cell.centre_of if n not in ours]
        self.cell.cut(ours, others)
        regions = {self.cell.region_of(n) for n in ours}
        if self.cell.deployment.store_region not in regions:
            self.cell.set_store_partition(ours, True)

    @_carry_out.register
    async def _(self, step: lines.Heal):
        self.cell.heal()

    @_carry_out.register
    async def _(self, step: lines.Process):
        name = step.process
        if step.action == "start":
            _find(self.cell.centre_of, name)
            await self.cell.start_process(name)
            self.unhealthy.discard(name)
            return
        process = _find(self.cell.processes, name)
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
            self._choose(),
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
        self._note_refusal(result.unwrap_err(), [work], "requests")

    async def _submit(self, step, number):
        key = f"{step.key}-{number}" if step.count > 1 else step.key
        document = self._document(step.service)
        run_s = None if step.run_ms is None else step.run_ms / MS_PER_S
        payload = json.dumps({"work": key, "run_s": run_s})
        works = [f"{key}/{i}" for i in range(document.run.tasks)]
        loop = asyncio.get_running_loop()
        started, in_doubt = loop.time(), False
        self.figures.count("runs")
        while True:
            result = await self.cell.submit(
                self._choose(), step.service, key, payload, timeout_s=SUBMIT_TIMEOUT_S
            )
            if result.is_ok():
                break
            failure = result.unwrap_err()
            in_doubt = in_doubt or failure.outcome is not Outcome.NOT_RUN
            waited = loop.time() - started
            if not failure.answer.retry or waited > SUBMIT_PATIENCE_S:
                works = [] if in_doubt else works
                self._note_refusal(failure, works, "runs")
                return
            await asyncio.sleep(RETRY_S)
        self.figures.count("runs_accepted")
        self.runs[key] = (result.unwrap().run, works)
        for work in works:
            self.cell.ledger.accept(work)
        if run_s is not None:
            await self._follow(key)

    async def _follow(self, key):
        run, works = self.runs[key]
        give_up_at = asyncio.get_running_loop().time() + END_TIMEOUT_S
        while asyncio.get_running_loop().time() < give_up_at:
            result = await self.cell.operate(
                self._choose(), WaitRun(run=run, wait_s=WAIT_S), timeout_s=2 * WAIT_S
            )
            if result.is_ok() and result.unwrap().outcome is not None:
                self._note_end(result.unwrap().outcome, works)
                return
            await asyncio.sleep(RETRY_S)
        self.figures.count("runs_unended")

    def _note_end(self, outcome, works):
        self.figures.count(f"runs_{outcome.value}")
        if outcome in (RunOutcome.CANCELLED, RunOutcome.STOPPED):
            for work in works:
                self.cell.ledger.cancel(work)

    async def _end(self, key, message):
        run, _ = _find(self.runs, key)
        result = await self.cell.operate(self._choose(), message(run))
        if result.is_ok() and isinstance(message(run), StopRun):
            await self._follow(key)

    def _note_refusal(self, failure, works, name):
        self.figures.count(f"{name}_refused")
        self.figures.count(f"{name}_{failure.kind.value}")
        if failure.outcome is Outcome.NOT_RUN:
            self.refused.update(works)

    # Helpers

    def _document(self, service):
        return _find(self.documents, service)

    def _choose(self):
        """Return a random process that the load balancer considers healthy."""
        healthy = self.cell.processes.keys() - self.unhealthy
        return self.rng.choice(sorted(healthy))

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.problems.append(task.exception())

    def _summary(self):
        record = self.cell.ledger.record
        values = self.figures.values
        values.update(attrs.asdict(compute_verdict(record)))
        executed = {e.work for e in record.executions}
        values["refused_not_run_false"] = len(self.refused & executed)
        revisions = {p.relay.table.revision for p in self.cell.processes.values()}
        values["revisions_apart"] = len(revisions) - 1
        return self.figures


def _find(found, name):
    if name not in found:
        detail = f"the trace refers to {name}, which does not exist"
        failure = Failure(kind=ErrorKind.INVALID_REQUEST, detail=detail)
        raise WasabipaddleError(failure)
    return found[name]
