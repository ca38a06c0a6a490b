"""Simulated callers of a soak test, which submit, poll and cancel jobs."""

import asyncio
import math

import attrs

from wasabipaddle.jobs import JobPhase, JobSpec, StepSpec
from wasabipaddle.platform.client import JobCaller
from wasabipaddle.soak.cell import callers_address
from wasabipaddle.soak.ledger import JobRecord
from wasabipaddle.standins.runners import TaskBehaviour

__all__ = ["LONGEST_LASTING_S", "SoakCallers"]

CALL_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.4
BURST_PROBABILITY = 0.06
BURST_JOBS = 15
MAX_SUBMISSIONS = 12
POLL_INTERVAL_S = 0.8
REPEAT_PROBABILITY = 0.1
CANCEL_PROBABILITY = 0.15
# Time within which callers cancel their lasting jobs, and other jobs if they do.
LONGEST_LASTING_S = 12.0
LATEST_CANCELLATION_S = 2.0
# Weights of urgent, batch, gang, lasting, scheduled, always failing and long jobs.
JOB_WEIGHTS = (51, 20, 8, 7, 5, 5, 4)
SPREAD_STEP = StepSpec(
    count=1, cpu=100, memory_mb=16, image="small", lasting=True, max_per_runner=1
)
BURST_STEP = StepSpec(count=50, cpu=4, memory_mb=16, image="small")
LONG_WORK_S = (5.0, 9.0)
ACCEPTED_STATUSES = range(200, 300)
REFUSAL_STATUSES = frozenset({429, 503})
STATUS_GONE = 410
STATUS_NOT_FOUND = 404
STATUS_UNAUTHENTICATED = 401
# A call that fails sooner may have used a pooled connection that the process was
# closing because it was idle.
IDLE_CLOSE_S = 0.2
# Time after a fault during which calls in progress may be cut and a process may not
# know the latest configuration.
SETTLE_S = 4.0


class SoakCallers:
    """Simulated callers that reuse their connections between calls.

    Parameters
    ----------
    platform : SoakPlatform
        Processes and their addresses.
    cell : CellProcesses
        Gives the processes that were signalled.
    ledger : SoakLedger
        Records and checks the responses to the callers.
    faults : SoakFaults
        Gives the end of the last fault.
    random : random.Random
        Random number generator for all choices.

    Attributes
    ----------
    sends_long_jobs : bool
        Whether jobs that take long are among those that are submitted.
    """

    def __init__(self, *, platform, cell, ledger, faults, random):
        self.platform = platform
        self.cell = cell
        self.ledger = ledger
        self.faults = faults
        self.random = random
        self.caller = JobCaller(wait_s=CALL_TIMEOUT_S)
        self.tasks = set()
        self.sends_long_jobs = True
        self.queues = {}

    async def run(self, jobs_per_s):
        """Submit jobs, some in bursts, until cancelled."""
        while True:
            count = BURST_JOBS if self.random.random() < BURST_PROBABILITY else 1
            for _ in range(count):
                self._spawn(self._follow_job(self._make_job()))
            await asyncio.sleep(self.random.expovariate(jobs_per_s))

    async def finish(self, timeout_s):
        """Wait at most `timeout_s` for the end of all jobs and close connections."""
        if self.tasks:
            await asyncio.wait(list(self.tasks), timeout=timeout_s)
        for task in list(self.tasks):
            task.cancel()
        await self.caller.close()

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def probe(self, queue):
        """Check that every undisturbed process knows a queue.

        A process that does not know the queue responds with status 404.
        """
        record = JobRecord(
            id="0" * 16,
            queue=queue,
            spec=None,
            behaviours=(),
            workspace=self.platform.keys.choose("0"),
        )
        for process in list(self.platform.processes):
            undisturbed_s = self.ledger.now() - self.cell.last_signal_s.get(
                process, -SETTLE_S
            )
            if process in self.cell.stopping or undisturbed_s < SETTLE_S:
                continue
            address = callers_address(self.platform, process)
            key = self.platform.keys.key_of(record.workspace)
            result = await self.caller.find_phase(address, queue, record.id, key=key)
            if result.status == STATUS_NOT_FOUND:
                detail = f"{queue.name} is not known to {process}"
                self.ledger.add_violation("configuration", record.id, detail)

    async def ask(self, process, queue, job_id, *, key):
        """Ask a process for the phase of a job with any key."""
        address = callers_address(self.platform, process)
        return await self.caller.find_phase(address, queue, job_id, key=key)

    def _make_job(self):
        rng = self.random
        job_id = f"{rng.getrandbits(64):016x}"
        (make_spec,) = rng.choices(
            (
                self._urgent,
                self._batch,
                self._gang,
                self._lasting,
                self._scheduled,
                self._failing,
                self._long,
            ),
            weights=JOB_WEIGHTS,
        )
        return self._record(job_id, *make_spec(f"payload of {job_id}"))

    def submit_burst(self, label, work_s):
        """Submit a job of many small tasks for the runners with a label."""
        job_id = f"{self.random.getrandbits(64):016x}"
        step = attrs.evolve(BURST_STEP, required_label=label, estimate_s=work_s)
        steps = [(step, TaskBehaviour(work_s=work_s))]
        record = self._record(job_id, *self._job("urgent", f"burst {job_id}", steps))
        self._spawn(self._follow_job(record, cancel_probability=0.0))

    def submit_spread(self, count):
        """Submit a lasting job, never cancelled, with each task on its own runner."""
        self.submit_lasting("lasting", SPREAD_STEP, count=count)

    def submit_lasting(self, queue, step, *, count, mean_life_s=math.inf):
        """Submit a lasting job of one step that is never cancelled.

        Parameters
        ----------
        mean_life_s : float
            Mean time until a run of a task fails by itself.
        """
        job_id = f"{self.random.getrandbits(64):016x}"
        step = attrs.evolve(step, count=count)
        behaviour = TaskBehaviour(work_s=math.inf, mean_life_s=mean_life_s)
        steps = [(step, behaviour)]
        record = self._record(job_id, *self._job(queue, f"lasting {job_id}", steps))
        self._spawn(self._submit(record))

    def _record(self, job_id, queue, spec, behaviours):
        if self.ledger.workspaces:
            workspace = self.ledger.workspaces.choose(lasting=spec.lasting)
        else:
            workspace = self.platform.keys.choose(job_id)
        record = JobRecord(
            id=job_id,
            queue=self.queues[queue],
            spec=spec,
            behaviours=behaviours,
            workspace=workspace,
        )
        self.ledger.jobs[job_id] = record
        return record

    def _step(self, count, work_s, **options):
        """Return a step and its behaviour.

        The estimated duration is 0.4, 1 or 2 times the actual duration, of which at
        most 5 s count.
        """
        estimate_s = min(work_s, 5.0) * self.random.choice((0.4, 1.0, 1.0, 2.0))
        cpu = self.random.choice((500, 1_500, 3_000))
        options = {"cpu": cpu, "memory_mb": 256, "image": f"image-{cpu}", **options}
        spec = StepSpec(count=count, estimate_s=estimate_s, **options)
        return spec, TaskBehaviour(work_s=work_s)

    def _job(self, queue, payload, steps, **options):
        specs, behaviours = zip(*steps, strict=True)
        spec = JobSpec(payload=payload, steps=specs, **options)
        return queue, spec, behaviours

    def _urgent(self, payload):
        rng = self.random
        steps = [
            self._step(
                rng.randint(1, 5),
                rng.uniform(0.1, 0.6),
                speculative=rng.random() < 0.3,
                max_per_runner=rng.choice((0, 0, 2)),
            )
        ]
        if rng.random() < 0.5:
            steps.append(self._step(1, rng.uniform(0.1, 0.4), after=(0,)))
        return self._job("urgent", payload, steps)

    def _batch(self, payload):
        rng = self.random
        steps = [self._step(rng.randint(2, 8), rng.uniform(0.5, 2.0), checkpoints=True)]
        if rng.random() < 0.6:
            step = self._step(rng.randint(1, 4), rng.uniform(0.3, 1.0), after=(0,))
            steps.append(step)
        return self._job("batch", payload, steps)

    def _gang(self, payload):
        step = self._step(
            self.random.randint(2, 4), self.random.uniform(0.5, 1.5), gang=True
        )
        return self._job("batch", payload, [step])

    def _lasting(self, payload):
        step = self._step(
            self.random.randint(1, 3), math.inf, lasting=True, disruption_allowance=1
        )
        return self._job("lasting", payload, [step])

    def _scheduled(self, payload):
        due_ms = self.platform.wall_ms() + self.random.randint(0, 3_000)
        steps = [self._step(2, 0.4)]
        return self._job(
            "batch", payload, steps, occurrences=3, first_due_ms=due_ms, interval_ms=900
        )

    def _failing(self, payload):
        queue, spec, behaviours = self._urgent(payload)
        first = TaskBehaviour(work_s=behaviours[0].work_s, fails=True)
        return queue, spec, (first, *behaviours[1:])

    def _long(self, payload):
        rng = self.random
        if not self.sends_long_jobs:
            return self._batch(payload)
        step = self._step(
            rng.randint(1, 2),
            rng.uniform(*LONG_WORK_S),
            cpu=500,
            image="long",
            checkpoints=rng.random() < 0.5,
        )
        return self._job("batch", payload, [step])

    async def _follow_job(self, record, *, cancel_probability=CANCEL_PROBABILITY):
        """Submit a job, poll it until its final phase, and cancel it in some cases."""
        if not await self._submit(record):
            return
        lasting = record.spec.lasting
        cancel_after_s = None
        if lasting or self.random.random() < cancel_probability:
            latest_s = LONGEST_LASTING_S if lasting else LATEST_CANCELLATION_S
            cancel_after_s = self.random.uniform(0.2, latest_s)
        started = self.ledger.now()
        while record.shown is None or not record.shown.final:
            due = cancel_after_s is not None
            if due and self.ledger.now() - started >= cancel_after_s:
                cancel_after_s = None
                await self._cancel(record)
            await self._poll(record)
            await asyncio.sleep(POLL_INTERVAL_S * self.random.uniform(0.5, 1.5))

    async def _submit(self, record):
        """Submit a job with retries and return whether it may run.

        A job may also run if a submission got no conclusive response.
        """
        for _ in range(MAX_SUBMISSIONS):
            result, process = await self._call(record, self.caller.submit, record.spec)
            if result.status in ACCEPTED_STATUSES:
                record.accepted_s = record.accepted_s or self.ledger.now()
                if self.random.random() < REPEAT_PROBABILITY:
                    await self._call(record, self.caller.submit, record.spec)
                return True
            if result.status == STATUS_NOT_FOUND:
                self.ledger.add_violation(
                    "configuration", record.id, f"status 404 from {process}"
                )
            elif result.status not in REFUSAL_STATUSES:
                record.in_doubt |= result.sent
            elif not record.in_doubt and self.random.random() < 0.3:
                record.refused = True
                return False
            await asyncio.sleep(RETRY_INTERVAL_S * self.random.uniform(0.5, 1.5))
        if not record.in_doubt:
            record.refused = True
            return False
        return True

    async def _cancel(self, record):
        """Repeat a cancellation until a response confirms it or has status 410."""
        record.cancel_sent = True
        while True:
            result, process = await self._call(record, self.caller.cancel)
            if result.status in ACCEPTED_STATUSES:
                record.cancelled_s = self.ledger.now()
                return
            if result.status == STATUS_GONE:
                self._handle_gone(record, process)
                return
            await asyncio.sleep(RETRY_INTERVAL_S * self.random.uniform(0.5, 1.5))

    async def _poll(self, record):
        result, process = await self._call(record, self.caller.find_phase)
        if result.phase is not None:
            if not record.accepted_s:
                record.accepted_s = self.ledger.now()
            self.ledger.record_phase(record, result.phase)
        elif result.status == STATUS_GONE:
            self._handle_gone(record, process)

    def _handle_gone(self, record, process):
        """Handle a response with status 410: the job does not exist."""
        if record.accepted_s:
            self.ledger.add_violation("lost", record.id, f"status 410 from {process}")
        elif record.in_doubt:
            # The submission without a response may never have taken effect.
            record.shown = JobPhase.CANCELLED
            record.cancel_sent = True

    async def _call(self, record, method, *arguments):
        """Call one process and check that a planned stop does not break the call."""
        process = self._choose_process()
        address = callers_address(self.platform, process)
        sent = self.ledger.now()
        key = self.platform.keys.key_of(record.workspace)
        result = await method(address, record.queue, record.id, *arguments, key=key)
        if result.status == STATUS_UNAUTHENTICATED:
            detail = f"status 401 from {process} with a key of its workspace"
            self.ledger.add_violation("key", record.id, detail)
        ended = self.ledger.now()
        cut = result.status == 0 and result.sent and ended - sent > IDLE_CLOSE_S
        if cut and self._is_planned_stop(process, ended):
            detail = f"{process} after {ended - sent:.3f} s: {result.detail}"
            self.ledger.add_violation("cut", record.id, detail)
        return result, process

    def _choose_process(self):
        names = self.platform.processes
        staying = [n for n in names if n not in self.cell.stopping]
        if staying and self.random.random() < 0.9:
            return self.random.choice(staying)
        return self.random.choice(names)

    def _is_planned_stop(self, process, ended_s):
        """Return whether a process is stopping as planned and no fault was recent."""
        since_s = self.cell.stopping.get(process)
        if since_s is None or process in self.cell.killed:
            return False
        return ended_s - self.faults.last_fault_end_s > SETTLE_S + CALL_TIMEOUT_S
