"""Small in-memory cell that records what its callers and operators receive."""

import asyncio
import json
import random

from wasabipaddle.api.editor import DocumentEditor
from wasabipaddle.documents import Catalogue, Resources
from wasabipaddle.documents.stored import DOCUMENT_PREFIX
from wasabipaddle.fuzz.history import (
    AppliedRevision,
    Edit,
    History,
    ReachableInterval,
    Request,
    SubmittedRun,
)
from wasabipaddle.measure.whole_cell import CellSize, WholeCell, WholeProcess
from wasabipaddle.messages import CancelRun, RunState, StopRun, WaitRun
from wasabipaddle.relay import DocumentApplied

__all__ = ["SERVICES", "FuzzCell"]

SIZE = CellSize(
    entries=5,
    data_centres=3,
    workers=3,
    endpoints=2,
    worker=Resources(cpu_milli=8_000, memory_mb=16_000),
    slots=4,
    connections=16,
)
VM_LIST_LAG_S = 1.5
REQUEST_DEADLINE_S = 10.0
LONG_POLL_S = 10.0
RETRY_PAUSE_S = 0.5
# Accepted work ends within this time after the last fault is cleared: failed workers
# are probed again with back-off, and leases and leaderships expire sooner.
END_BOUND_S = 180.0

# Number of tasks of a run, by service.
SERVICES = {"pages": 1, "model": 3, "watch": 2}
# Whether the requests are idempotent, by service.
REQUEST_SERVICES = {"checks": False, "notices": True}

RUN_DOCUMENT = """\
service: {service}
team: t
kind: {kind}
needs: {{cpu: 3, memory: 4GB}}
quota: {{resources: {{cpu: 72, memory: 144GB}}}}
share: {{weight: {weight}}}
run: {{tasks: {tasks}, max_attempts: 50}}
"""
REQUEST_DOCUMENT = """\
service: {service}
team: t
kind: request
urgency: urgent
placement: {{pool: pool}}
share: {{weight: {weight}}}
quota: {{slots: 24}}
request: {{deadline: 10s, idempotent: {idempotent}, retry_budget: 0.1}}
"""
KINDS = {"pages": "batch", "model": "gang", "watch": "service"}


def document_text(service, weight) -> str:
    """Return the document of a service; edits differ in the weight of its share."""
    if service in REQUEST_SERVICES:
        idempotent = str(REQUEST_SERVICES[service]).lower()
        return REQUEST_DOCUMENT.format(
            service=service, weight=weight, idempotent=idempotent
        )
    return RUN_DOCUMENT.format(
        service=service, kind=KINDS[service], weight=weight, tasks=SERVICES[service]
    )


class FuzzProcess(WholeProcess):
    """Entry process that records the document revisions it applies.

    Attributes
    ----------
    drain_interrupted : bool
        Whether the process was paused during its drain.
    """

    def __init__(self, *, settings, cell):
        super().__init__(settings=settings, cell=cell)
        self.paused = False
        self.draining = False
        self.drain_interrupted = False
        events = self.context.bus.events(DocumentApplied)
        events.subscribe(self._record_applied)

    def _record_applied(self, event):
        applied = AppliedRevision(
            process=self.identity,
            service=event.service,
            revision=event.revision,
            time_s=asyncio.get_running_loop().time(),
        )
        self.cell.history.applied.append(applied)

    async def pause(self):
        """Suspend the process without a graceful shutdown."""
        self.paused = True
        await super().pause()

    async def resume(self):
        """Continue a suspended process."""
        self.paused = False
        await super().resume()


class FuzzCell(WholeCell):
    """Cell that records the results of calls by its callers and operators.

    Parameters
    ----------
    options : dict
        Further arguments of `WholeCell`, for tests that replace a component.

    Attributes
    ----------
    history : History
        What was recorded; the input of the oracle.
    isolated : set of str
        Data centres that are cut off from the store.
    """

    process_type = FuzzProcess

    def __init__(self, *, seed=1, size=SIZE, **options):
        super().__init__(
            size=size,
            seed=seed,
            vm_list_lag_s=VM_LIST_LAG_S,
            random=random.Random(seed),
            **options,
        )
        self.rng = random.Random(f"{seed}/callers")
        self.history = History(ledger=self.ledger.record)
        self.isolated = set()
        self.reachable = {}
        self.calls = set()
        self.editors = [self._make_editor(n) for n in range(2)]
        for vm in (*self.workers.values(), *self.endpoints.values()):
            vm.random = random.Random(f"{seed}/{vm.name}")

    async def start(self):
        """Store the document of each service and start every process."""
        for service in (*SERVICES, *REQUEST_SERVICES):
            await self.write_document(document_text(service, 1), service)
        await super().start()

    async def start_process(self, name):
        """Start a process; it replaces one of the same name and has no state."""
        process = await super().start_process(name)
        self.update_reachability()
        return process

    def _make_editor(self, number):
        rng = random.Random(f"{self.seed}/operator{number}")
        return DocumentEditor(
            store=self.store.client(f"operator{number}"),
            catalogue=Catalogue(),
            new_operation=lambda: f"operator{number}/{rng.getrandbits(48):x}",
        )

    def spawn(self, coroutine):
        """Start a call as a task and return the task."""
        task = asyncio.create_task(coroutine)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)
        return task

    # Reachability

    def update_reachability(self):
        """Begin or end reachable intervals of processes after a change in the cell."""
        now = asyncio.get_running_loop().time()
        store_up = not (self.store.faults.down or self.store.faults.hang)
        reached = {
            p.identity
            for p in self.processes.values()
            if store_up
            and not (p.paused or p.draining)
            and self.data_centre_of[p.name] not in self.isolated
        }
        for identity in self.reachable.keys() - reached:
            since_s = self.reachable.pop(identity)
            interval = ReachableInterval(process=identity, since_s=since_s, until_s=now)
            self.history.reaches.append(interval)
        for identity in sorted(reached - self.reachable.keys()):
            self.reachable[identity] = now

    def close_reachability(self):
        """Record the reachable intervals that are still open as ending now."""
        now = asyncio.get_running_loop().time()
        for identity, since_s in self.reachable.items():
            interval = ReachableInterval(process=identity, since_s=since_s, until_s=now)
            self.history.reaches.append(interval)
            self.reachable[identity] = since_s

    # Callers

    def send_request(self, process, service, *, service_s, answer_bytes=64):
        """Send a request; its answer is recorded when it arrives."""
        request = Request(
            request=f"q{len(self.history.requests)}",
            process=self.processes[process].identity,
            answer_bytes=answer_bytes,
            idempotent=REQUEST_SERVICES[service],
        )
        self.history.requests.append(request)
        self.spawn(self._request(request, process, service, service_s))
        return request

    async def _request(self, request, process, service, service_s):
        body = {
            "service_s": service_s,
            "answer_bytes": request.answer_bytes,
            "idempotent": request.idempotent,
        }
        request.result = await self.request(
            process,
            service,
            request.request,
            json.dumps(body).encode(),
            deadline_s=REQUEST_DEADLINE_S,
        )

    def submit_run(self, process, service, *, run_s):
        """Submit a run; the result of the submission is recorded when it arrives."""
        run = SubmittedRun(
            key=f"r{len(self.history.runs)}", service=service, tasks=SERVICES[service]
        )
        run.payload = json.dumps({"work": run.key, "run_s": run_s})
        self.history.runs.append(run)
        self.submit_again(process, run)
        return run

    def submit_again(self, process, run):
        """Repeat a submission with the same key."""
        run.waiting += 1
        self.spawn(self._submit(process, run))

    async def _submit(self, process, run):
        result = await self.submit(process, run.service, run.key, run.payload)
        run.waiting -= 1
        if result.is_ok():
            run.runs.add(result.unwrap().run)
        else:
            run.refusals.append(result.unwrap_err())

    def release(self, process, run, *, cancel):
        """Cancel or stop an accepted run."""
        if not run.runs:
            return
        run.released = True
        name = min(run.runs)
        message = CancelRun(run=name) if cancel else StopRun(run=name, grace_s=2.0)
        self.spawn(self.operate(process, message))

    def edit(self, operator, service):
        """Edit a document as one of the operators; an accepted edit is recorded."""
        self.spawn(self._edit(operator, service))

    async def _edit(self, operator, service):
        editor = self.editors[operator]
        read = await editor.read(service)
        if read.is_err():
            return
        result = await editor.apply(
            service,
            document_text(service, 1 + self.rng.randrange(1000)),
            expected_revision=read.unwrap().revision,
            editor="t",
        )
        if result.is_ok():
            now = asyncio.get_running_loop().time()
            edit = Edit(service=service, revision=result.unwrap(), time_s=now)
            self.history.edits.append(edit)

    # End

    async def finish(self):
        """Wait for the end of accepted work and record its outcomes.

        Every process must be running and every fault cleared.
        """
        run_waits = [
            asyncio.create_task(self._finish_run(r))
            for r in self.history.runs
            if r.runs or r.waiting
        ]
        pending = [*run_waits, *self.calls]
        if pending:
            await asyncio.wait(pending, timeout=END_BOUND_S)
        await asyncio.sleep(20.0)
        for task in pending:
            task.cancel()
        self.history.revisions = {
            p.name: {s: a.source.revision for s, a in p.relay.table.applied.items()}
            for p in self.processes.values()
        }
        self.history.revisions["store"] = {
            k.removeprefix(DOCUMENT_PREFIX): e.revision
            for k, e in self.store.keys.entries.items()
            if k.startswith(DOCUMENT_PREFIX)
        }
        self.history.ended = True

    async def _finish_run(self, run):
        while run.waiting:
            await asyncio.sleep(RETRY_PAUSE_S)
        if not run.runs:
            return
        name = min(run.runs)
        while run.outcome is None:
            process = self.rng.choice(sorted(self.processes))
            message = WaitRun(run=name, wait_s=LONG_POLL_S)
            result = await self.operate(process, message)
            if result.is_err():
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            view = result.unwrap()
            if view.state is RunState.ENDED:
                run.outcome = view.outcome
            elif run.service == "watch" and view.state is RunState.RUNNING:
                self.release(process, run, cancel=False)
