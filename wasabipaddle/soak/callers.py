"""Callers of a soak: they submit jobs, ask for their states and cancel some."""

import asyncio
import math

from wasabipaddle.jobs import JobPhase, JobSpec, StepSpec
from wasabipaddle.platform.calling import JobCaller
from wasabipaddle.soak.cell import callers_address
from wasabipaddle.soak.ledger import JobRecord
from wasabipaddle.standins.runners import TaskBehaviour

__all__ = ["SoakCallers"]

WAIT_S = 3.0
RETRY_S = 0.4
BURST_SHARE = 0.06
BURST_JOBS = 15
MAX_TRIES = 12
ASK_S = 0.8
LATE_REPEAT_SHARE = 0.1
# Urgent, batch, gang, lasting, scheduled and hopeless jobs.
SHAPE_WEIGHTS = (55, 20, 8, 7, 5, 5)
ACCEPTED = range(200, 300)
REFUSALS = frozenset({429, 503})
GONE = 410
NOT_FOUND = 404
# A call that ends sooner may have met the closing of an idle connection.
LOSS_SLACK_S = 0.2
# A call in progress may be cut if the process was disturbed this long before.
CALM_S = 4.0


class SoakCallers:
    """Callers that keep their connections until the process is gone.

    Parameters
    ----------
    platform : SoakPlatform
        Processes and their addresses.
    cell : CellProcesses
        Tells which processes were disturbed.
    ledger : SoakLedger
        Notes what the callers learn.
    faults : SoakFaults
        Tells since when nothing is disturbed.
    random : random.Random
        Source of all choices.
    """

    def __init__(self, *, platform, cell, ledger, faults, random):
        self.platform = platform
        self.cell = cell
        self.ledger = ledger
        self.faults = faults
        self.random = random
        self.caller = JobCaller(wait_s=WAIT_S)
        self.tasks = set()
        self.submitting = True
        self.queues = {}

    async def run(self, jobs_per_s, until_s):
        """Submit jobs until a time of the ledger."""
        while self.ledger.now() < until_s:
            count = BURST_JOBS if self.random.random() < BURST_SHARE else 1
            for _ in range(count):
                self._spawn(self._serve(self._draw_job()))
            await asyncio.sleep(self.random.expovariate(jobs_per_s))

    async def finish(self, timeout_s):
        """Wait until the callers know the ends of their jobs."""
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
        """Ask every undisturbed process for a job of a queue that must be known."""
        record = JobRecord(id="0" * 16, queue=queue, spec=None, behaviours=())
        for process in self.platform.processes:
            calm_s = self.ledger.now() - self.cell.disturbed_s.get(process, -CALM_S)
            if process in self.cell.leaving or calm_s < CALM_S:
                continue
            address = callers_address(self.platform, process)
            answer = await self.caller.find_phase(address, queue, record.id)
            if answer.status == NOT_FOUND:
                detail = f"{queue.name} is not known to {process}"
                self.ledger.broken("configuration", record.id, detail)

    def _draw_job(self):
        draw = self.random
        job_id = f"{draw.getrandbits(64):016x}"
        (shape,) = draw.choices(
            (
                self._urgent,
                self._batch,
                self._gang,
                self._lasting,
                self._scheduled,
                self._hopeless,
            ),
            weights=SHAPE_WEIGHTS,
        )
        queue, spec, behaviours = shape(f"payload of {job_id}")
        record = JobRecord(
            id=job_id, queue=self.queues[queue], spec=spec, behaviours=behaviours
        )
        self.ledger.jobs[job_id] = record
        return record

    def _step(self, count, work_s, **options):
        """Return a step and its behaviour; estimates are far off at times."""
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
        draw = self.random
        steps = [
            self._step(
                draw.randint(1, 5),
                draw.uniform(0.1, 0.6),
                speculative=draw.random() < 0.3,
                max_per_runner=draw.choice((0, 0, 2)),
            )
        ]
        if draw.random() < 0.5:
            steps.append(self._step(1, draw.uniform(0.1, 0.4), after=(0,)))
        return self._job("urgent", payload, steps)

    def _batch(self, payload):
        draw = self.random
        steps = [
            self._step(draw.randint(2, 8), draw.uniform(0.5, 2.0), checkpoints=True)
        ]
        if draw.random() < 0.6:
            step = self._step(draw.randint(1, 4), draw.uniform(0.3, 1.0), after=(0,))
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

    def _hopeless(self, payload):
        queue, spec, behaviours = self._urgent(payload)
        first = TaskBehaviour(work_s=behaviours[0].work_s, fails=True)
        return queue, spec, (first, *behaviours[1:])

    async def _serve(self, record):
        """Follow one job from its submission to its end."""
        if not await self._submit(record):
            return
        lasting = record.spec.lasting
        cancel_after_s = None
        if lasting or self.random.random() < 0.15:
            cancel_after_s = self.random.uniform(0.2, 12.0 if lasting else 2.0)
        began = self.ledger.now()
        while record.shown is None or not record.shown.final:
            due = cancel_after_s is not None
            if due and self.ledger.now() - began >= cancel_after_s:
                cancel_after_s = None
                await self._cancel(record)
            await self._ask(record)
            await asyncio.sleep(ASK_S * self.random.uniform(0.5, 1.5))

    async def _submit(self, record):
        """Submit until some process answers; return whether the job may run."""
        for _ in range(MAX_TRIES):
            answer, process = await self._call(record, self.caller.submit, record.spec)
            if answer.status in ACCEPTED:
                record.accepted_s = record.accepted_s or self.ledger.now()
                if self.random.random() < LATE_REPEAT_SHARE:
                    await self._call(record, self.caller.submit, record.spec)
                return True
            if answer.status == NOT_FOUND:
                self.ledger.broken("configuration", record.id, f"404 by {process}")
            elif answer.status not in REFUSALS:
                record.in_doubt |= answer.sent
            elif not record.in_doubt and self.random.random() < 0.3:
                record.refused = True
                return False
            await asyncio.sleep(RETRY_S * self.random.uniform(0.5, 1.5))
        if not record.in_doubt:
            record.refused = True
            return False
        return True

    async def _cancel(self, record):
        """Cancel a job, until some process has answered."""
        record.cancel_sent = True
        while True:
            answer, process = await self._call(record, self.caller.cancel)
            if answer.status in ACCEPTED:
                record.cancelled_s = self.ledger.now()
                return
            if answer.status == GONE:
                self._gone(record, process)
                return
            await asyncio.sleep(RETRY_S * self.random.uniform(0.5, 1.5))

    async def _ask(self, record):
        answer, process = await self._call(record, self.caller.find_phase)
        if answer.phase is not None:
            if not record.accepted_s:
                record.accepted_s = self.ledger.now()
            self.ledger.shown(record, answer.phase)
        elif answer.status == GONE:
            self._gone(record, process)

    def _gone(self, record, process):
        """Take an answer that says that there is no such job."""
        if record.accepted_s:
            self.ledger.broken("lost", record.id, f"410 by {process}")
        elif record.in_doubt:
            # A submission without an answer may have been lost for good.
            record.shown = JobPhase.CANCELLED
            record.cancel_sent = True

    async def _call(self, record, method, *arguments):
        """Make one call at a process that the balancer would choose."""
        process = self._choose()
        address = callers_address(self.platform, process)
        sent = self.ledger.now()
        answer = await method(address, record.queue, record.id, *arguments)
        ended = self.ledger.now()
        cut = answer.status == 0 and answer.sent and ended - sent > LOSS_SLACK_S
        if cut and self._was_planned(process, ended):
            detail = f"{process} after {ended - sent:.3f} s: {answer.detail}"
            self.ledger.broken("cut", record.id, detail)
        return answer, process

    def _choose(self):
        names = self.platform.processes
        staying = [n for n in names if n not in self.cell.leaving]
        if staying and self.random.random() < 0.9:
            return self.random.choice(staying)
        return self.random.choice(names)

    def _was_planned(self, process, ended_s):
        """Return whether a graceful stop is all that disturbed a process."""
        since_s = self.cell.leaving.get(process)
        if since_s is None or process in self.cell.killed:
            return False
        return ended_s - self.faults.disturbed_s > CALM_S + WAIT_S
