"""Measure `recovery`: changes of leadership under process and store faults."""

import asyncio
import itertools
import json
import math
import random

import attrs

from wasabipaddle.clock import run_virtual
from wasabipaddle.measure.base import Bound, Measure
from wasabipaddle.measure.whole_cell import CellSize, WholeCell
from wasabipaddle.messages import RunOutcome, WaitRun
from wasabipaddle.runs import LeaseExpiry
from wasabipaddle.serve.shards import ShardsPlugin
from wasabipaddle.standins import compute_verdict

__all__ = ["RecoveryMeasure"]

SIZE = CellSize(entries=6, data_centres=2, workers=8, endpoints=1)
SHARD = "dc0-0"
SERVICE = "checks"
SETTLE_S = 6.0
BEFORE_S = 5.0
FAULT_S = 15.0
AFTER_S = 10.0
END_TIMEOUT_S = 120.0
SUBMIT_PERIOD_S = 0.1
PAUSE_S = 12.0
RETRY_S = 0.1
# Time after which callers repeat a submission with the same key, to any process.
CALLER_TIMEOUT_S = 2.0
# Time for which the health check of a process must fail before the balancer takes
# the process out of rotation.
HEALTH_CHECK_S = 2.0
SLOW_STORE_S = 0.5
LOST_ANSWER_PROBABILITY = 0.3

DOCUMENT = """\
service: checks
team: t
kind: batch
urgency: urgent
needs: {cpu: 1, memory: 1GB}
placement: {data_centres: [dc0]}
quota: {resources: {cpu: 512, memory: 512GB}}
run: {tasks: 1, max_attempts: 10}
"""

FAULTS = ("kill", "pause", "partition")
STORE_STATES = ("up", "down", "slow", "lossy")
FAULT_PAIRS = (("kill", "worker"), ("pause", "partition"), ("kill", "kill"))


@attrs.frozen(kw_only=True)
class Case:
    """One combination of faults.

    Parameters
    ----------
    faults : tuple of str
        Faults injected together.
    store : str
        State of the store while the faults last.
    """

    faults: tuple[str, ...]
    store: str


@attrs.frozen(kw_only=True)
class CaseResult:
    """Result of one case.

    Parameters
    ----------
    pauses_s : list of float
        Times from the first submission to the first start of each run submitted
        while the faults lasted; infinite for a run that never started.
    unended : int
        Number of submitted runs that had not completed at the end.
    """

    pauses_s: list
    verdict: object
    unended: int


class BaselineShards(ShardsPlugin):
    """Leads shards with the baseline recovery policy."""

    name = ""  # an empty name does not replace the registered plug-in
    recovery = LeaseExpiry


BaselineShards.name = ShardsPlugin.name


class _Submitter:
    """Submits runs at a steady rate, repeats failed calls and waits for the runs."""

    def __init__(self, *, cell, rng):
        self.cell = cell
        self.rng = rng
        self.silent = {}
        self.submitted = {}
        self.accepted = {}
        self.tasks = []

    async def send(self, duration_s):
        """Submit runs for `duration_s` seconds."""
        loop = asyncio.get_running_loop()
        until = loop.time() + duration_s
        while loop.time() < until:
            key = f"k{len(self.submitted)}"
            self.submitted[key] = loop.time()
            self.tasks.append(asyncio.create_task(self._submit(key)))
            await asyncio.sleep(SUBMIT_PERIOD_S)

    async def _submit(self, key):
        run_s = round(self.rng.lognormvariate(0.5, 0.8), 3)
        payload = json.dumps({"work": key, "run_s": run_s})
        while True:
            name = self._choose_process()
            result = await self.cell.submit(
                name, SERVICE, key, payload, timeout_s=CALLER_TIMEOUT_S
            )
            if result.is_ok():
                self.accepted[key] = result.unwrap().run
                self.cell.ledger.accept(f"{key}/0")
                return
            await asyncio.sleep(RETRY_S)

    async def finish(self):
        """Wait until every run has been accepted and has ended.

        Returns
        -------
        int
            Number of submitted runs that did not complete within the time limits.
        """
        await asyncio.wait(self.tasks, timeout=END_TIMEOUT_S)
        ends = [asyncio.create_task(self._wait(r)) for r in self.accepted.values()]
        done, _ = await asyncio.wait(ends, timeout=END_TIMEOUT_S)
        completed = [t for t in done if t.result() is RunOutcome.COMPLETED]
        for task in (*ends, *self.tasks):
            task.cancel()
        return len(self.submitted) - len(completed)

    async def _wait(self, run):
        while True:
            message = WaitRun(run=run, wait_s=10.0)
            view = await self.cell.operate(
                self._choose_process(),
                message,
                timeout_s=message.wait_s + CALLER_TIMEOUT_S,
            )
            if view.is_ok() and view.unwrap().outcome is not None:
                return view.unwrap().outcome
            await asyncio.sleep(RETRY_S)

    def _choose_process(self):
        """Return a random process that the platform's balancer considers healthy."""
        now = asyncio.get_running_loop().time()
        out = {n for n, since in self.silent.items() if now - since >= HEALTH_CHECK_S}
        return self.rng.choice(sorted(self.cell.processes.keys() - out))


async def _run_case(case, *, seed, shards):
    cell = WholeCell(size=SIZE, seed=seed, shards=shards)
    await cell.write_document(DOCUMENT, SERVICE)
    await cell.start()
    await asyncio.sleep(SETTLE_S)
    submitter = _Submitter(cell=cell, rng=random.Random(seed))
    sending = asyncio.create_task(submitter.send(BEFORE_S + FAULT_S + AFTER_S))
    await asyncio.sleep(BEFORE_S)
    start = asyncio.get_running_loop().time()
    _set_store(cell, case.store)
    fault_ends = [await _inject(cell, submitter, fault) for fault in case.faults]
    await asyncio.sleep(FAULT_S)
    _set_store(cell, "up")
    cell.heal()
    submitter.silent.clear()
    for end_fault in fault_ends:
        await end_fault()
    await sending
    unended = await submitter.finish()
    return CaseResult(
        pauses_s=_pauses(cell, submitter, start, start + FAULT_S),
        verdict=compute_verdict(cell.ledger.record),
        unended=unended,
    )


def _set_store(cell, state):
    faults = cell.store.faults
    faults.down = state == "down"
    faults.extra_latency_s = SLOW_STORE_S if state == "slow" else 0.0
    faults.lost_answer = LOST_ANSWER_PROBABILITY if state == "lossy" else 0.0


async def _inject(cell, submitter, fault):
    """Inject a fault and return a function whose coroutine ends it."""

    async def no_op():
        pass

    if fault == "worker":
        cell.lose_worker("dc0-w000")
        return no_op
    leaders = cell.leaders(SHARD) or [
        p for p in cell.processes.values() if cell.data_centre_of[p.name] == "dc0"
    ]
    leader = leaders[0]
    if fault == "kill":
        await cell.kill(leader.name)
        return lambda: cell.start_process(leader.name)
    if fault == "pause":
        await leader.pause()
        submitter.silent[leader.name] = asyncio.get_running_loop().time()
        return leader.resume
    others = [n for n in cell.data_centre_of if n != leader.name]
    cell.cut([leader.name], others)
    cell.set_store_partition([leader.name], True)
    return no_op


def _pauses(cell, submitter, start, end):
    first = {}
    for execution in cell.ledger.record.executions:
        key = execution.work.partition("/")[0]
        first[key] = min(execution.started_s, first.get(key, math.inf))
    return [
        first.get(key, math.inf) - at
        for key, at in submitter.submitted.items()
        if start <= at < end
    ]


def _cases(quick):
    if quick:
        return [
            Case(faults=("kill",), store="up"),
            Case(faults=("pause",), store="up"),
            Case(faults=("partition",), store="lossy"),
            Case(faults=("kill", "worker"), store="down"),
        ]
    single = [
        Case(faults=(f,), store=s) for f, s in itertools.product(FAULTS, STORE_STATES)
    ]
    double = [
        Case(faults=p, store=s) for p, s in itertools.product(FAULT_PAIRS, STORE_STATES)
    ]
    return single + double


class RecoveryMeasure(Measure):
    """Kills, pauses and partitions the leader of a shard under a steady load."""

    name = "recovery"
    bounds = (
        Bound(figure="pause_p99_s", comparison="<=", value=5),
        Bound(figure="lost", comparison="==", value=0),
        Bound(figure="doubled", comparison="==", value=0),
        Bound(figure="two_places", comparison="==", value=0),
        Bound(figure="overfilled", comparison="==", value=0),
    )

    def run(self, *, seed, quick):
        """Run every case with the default and the baseline recovery policy."""
        cases = _cases(quick)
        sizes = {
            "cases": len(cases),
            "entries": SIZE.entries,
            "workers": SIZE.workers * SIZE.data_centres,
            "submissions_per_s": 1 / SUBMIT_PERIOD_S,
        }
        return self.measurement(
            seed=seed,
            sizes=sizes,
            figures=_figures(cases, seed, ShardsPlugin),
            baseline=_figures(cases, seed, BaselineShards),
        )


def _figures(cases, seed, shards):
    results = [
        run_virtual(_run_case(case, seed=seed + i, shards=shards))
        for i, case in enumerate(cases)
    ]
    pauses = [
        p
        for c, r in zip(cases, results, strict=True)
        if c.store == "up"
        for p in r.pauses_s
    ]
    pauses.sort()
    verdicts = [r.verdict for r in results]
    return {
        "pause_p50_s": round(pauses[len(pauses) // 2], 3),
        "pause_p99_s": round(pauses[int(len(pauses) * 0.99)], 3),
        "pause_max_s": round(pauses[-1], 3),
        "accepted": sum(v.accepted for v in verdicts),
        "lost": sum(v.lost for v in verdicts),
        "unended": sum(r.unended for r in results),
        "doubled": sum(v.doubled for v in verdicts),
        "two_places": sum(v.two_places for v in verdicts),
        "overfilled": sum(v.overfilled for v in verdicts),
        "reruns": sum(v.reruns for v in verdicts),
    }
