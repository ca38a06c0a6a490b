"""Dispatch session of a leader: takeover, planning and background tasks."""

import asyncio

from absl import logging
from result import Err, Ok

from wasabipaddle.cell.accepted import AcceptedJobs
from wasabipaddle.cell.advice import AdviceBalancer
from wasabipaddle.cell.after_round import AfterRound
from wasabipaddle.cell.calls import RunnerCalls
from wasabipaddle.cell.fleet import FleetRecord
from wasabipaddle.cell.intake import IntakeWatcher, RegistryWatcher
from wasabipaddle.cell.maintenance import open_maintenance
from wasabipaddle.cell.proof import LEADERSHIP_EVENTS
from wasabipaddle.cell.stored_jobs import build_phase_reply
from wasabipaddle.cell.takeover import PROOF_LIMIT_S, load_fleet, load_progress
from wasabipaddle.cell.timing import make_timing
from wasabipaddle.cell.writer import ProgressWriter
from wasabipaddle.dispatch import Scheduler
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.messages.jobs import Noted
from wasabipaddle.serve.tasks import TaskSet

__all__ = ["DispatchSession"]

# Run numbers reserved for each term; the runs of one task in a term are assumed to need
# fewer.
RUNS_PER_TERM = 1000
# Longest time between two planning rounds, and shortest between two rounds of the work
# that depends on time.
TICK_S = 0.1
# Pause before a planning round, so that one round covers several changes.
PLAN_DELAY_S = 0.004
RETRY_S = 0.2
MS_PER_S = 1000
# Time between two planning rounds that counts as a pause of the process, and longest
# wait after it for the store, which may be unavailable to all processes.
PAUSE_S = 1.0
CONFIRM_S = 1.5


class DispatchSession:
    """State and background tasks of the dispatcher while its process leads.

    Parameters
    ----------
    context : Context
        Services of the process.
    store_plugin : CellStorePlugin
        The store.
    members : MembersPlugin
        Calls to the other processes.
    configuration : ConfigurationPlugin
        Provides the current configuration.
    epoch, term : int
        Epoch and number of the term. The epoch rises if the process loses the leader
        key and wins it again.
    election : ElectionPlugin
        Confirms and ends the leadership of this process.

    Attributes
    ----------
    began_s : float
        Time at which the leadership had certainly begun.
    """

    def __init__(
        self, *, context, store_plugin, members, configuration, epoch, term, election
    ):
        self.context = context
        self.settings = context.settings
        self.clock = context.clock
        self.metrics = context.metrics
        self.store_plugin = store_plugin
        self.configuration = configuration
        self.epoch = epoch
        self.term = term
        self.election = election
        self.began_s = self.clock.now()
        self.loaded = False
        self.tasks = TaskSet()
        self.woken = asyncio.Event()
        self.after_round = AfterRound()
        self.scheduler = Scheduler(
            timing=make_timing(self.settings.bounds),
            journal=self.journal,
            run_number_base=(term - 1) * RUNS_PER_TERM,
        )
        self.advice_balancer = AdviceBalancer(members=members)
        self.calls = RunnerCalls(session=self)
        self.fleet = FleetRecord(
            store_plugin=store_plugin, scheduler=self.scheduler, session=self
        )
        self.writer = ProgressWriter(
            store_plugin=store_plugin, scheduler=self.scheduler, session=self
        )
        self.intake = IntakeWatcher(
            store_plugin=store_plugin, add_job=self.add_job, cancel=self.cancel
        )
        self.registry = RegistryWatcher(
            store_plugin=store_plugin,
            set_runner=self._set_runner,
            mark_unlisted=self._mark_unlisted,
        )
        self.maintenance = open_maintenance(self)
        self.progress = {}
        self.accepted = AcceptedJobs(session=self, epoch=epoch)
        self.granting = True
        self.last_round_s = self.clock.boot_s()

    def journal(self, kind, **fields):
        """Log an event, with epoch, term and age of the proof if they matter to it.

        A session whose leadership has ended has no proof, and logs no age.
        """
        if kind in LEADERSHIP_EVENTS:
            age_s = self.election.proof.age_s() if self.leads else None
            fields |= {
                "epoch": self.epoch,
                "term": self.term,
                "proof_age_ms": None if age_s is None else int(age_s * MS_PER_S),
            }
        self.context.journal(kind, **fields)

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return self.clock.now()

    @property
    def leads(self) -> bool:
        """Whether the leadership of this session goes on.

        The process may have lost it and lead under a later epoch, with another session.
        """
        return self.election.epoch == self.epoch

    def may_grant(self) -> bool:
        """Return whether the leader may grant leases and start tasks.

        A successor may lead otherwise, and count on it that this process does neither.
        """
        return self.leads and self.election.proof.age_s() <= PROOF_LIMIT_S

    def step_down(self, reason):
        """End the leadership of this session, but no later one of the process."""
        self.election.step_down(reason, epoch=self.epoch)

    def spawn(self, coroutine):
        """Run a coroutine as a background task of the session."""
        return self.tasks.spawn(coroutine)

    def keep_running(self, function, *args):
        """Run a background loop of the session, again after an exception in it."""
        return self.tasks.keep_running(function, *args)

    def wake(self):
        """Have the next planning round run soon."""
        self.woken.set()

    def continue_with(self, epoch):
        """Go on under another epoch, as no other process has led in between."""
        self.epoch = epoch
        self.accepted.epochs.add(epoch)

    def start(self):
        """Start the takeover, followed by planning, in the background."""
        self.keep_running(self._take_over)

    async def close(self):
        """End all background tasks and close the connections to runners."""
        await self.tasks.close()
        self.intake.watch.close()
        self.registry.watch.close()
        await self.maintenance.close()
        await self.calls.close()

    async def _take_over(self):
        began = self.now()
        state = self.scheduler.state
        self._measure_wall_offset()
        if self.configuration.current is not None:
            self.scheduler.configure(self.configuration.current)
        await load_fleet(self)
        await asyncio.gather(
            load_progress(self), self.registry.load(), self.maintenance.load()
        )
        await self.intake.load()
        # Jobs that were stored before the listing count as recovered, so the listing
        # must lie within the leadership.
        while not await self.election.proof.read():
            await asyncio.sleep(RETRY_S)
        self.progress.clear()
        self.loaded = True
        self.last_round_s = self.clock.boot_s()
        # An inventory lists runs of jobs, so it can be interpreted only once the jobs
        # are loaded.
        for runner in state.runners.values():
            self.calls.ensure_inventory(runner)
        self.journal(
            "dispatcher_recovered",
            epoch=self.epoch,
            jobs=len(state.unfinished),
            runners=len(state.runners),
            suspects=len(state.suspects),
            took_ms=int((self.now() - began) * 1000),
        )
        for function in (
            self.intake.follow,
            self.registry.follow,
            self.writer.run,
            self.writer.sweep,
            self.fleet.run,
            self.maintenance.follow,
            self.maintenance.run,
            self._plan,
        ):
            self.keep_running(function)

    def _measure_wall_offset(self):
        offset_s = self.clock.wall_ms() / 1000 - self.now()
        self.scheduler.state.wall_offset_s = offset_s

    def _set_runner(self, entry):
        known = self.scheduler.state.runners.get(entry.id)
        if entry.draining and not (known and known.entry.draining):
            leaves_in_ms = int(entry.leaves_in_s * 1000)
            self.journal("runner_draining", runner=entry.id, leaves_in_ms=leaves_in_ms)
        runner = self.scheduler.set_runner(entry, self.now())
        if self.loaded:
            self.calls.ensure_inventory(runner)
        self.fleet.note_entry(runner)
        self.wake()

    def _mark_unlisted(self, runner_id):
        self.journal("runner_unlisted", runner=runner_id)
        self.scheduler.mark_unlisted(runner_id)
        self.fleet.changed.set()

    def add_job(self, job, *, epoch=0):
        """Add an accepted job, unless the scheduler already has it.

        Parameters
        ----------
        epoch : int
            Epoch of the leader when the job was stored, 0 if it is not known.
        """
        if job.id in self.scheduler.state.jobs:
            return
        if self.loaded:
            self.accepted.add(job, epoch)
        else:
            self.take_job(job)

    def take_job(self, job):
        """Pass a job to the scheduler, unless it already has it."""
        if job.id in self.scheduler.state.jobs:
            return
        self.scheduler.lifecycle.add_job(
            job,
            self.now(),
            progress=self.progress.get(job.id),
            recovered=not self.loaded,
        )
        self.metrics.count("jobs_taken")
        self.wake()

    def cancel(self, job_id):
        """Cancel a job whose cancellation has been stored."""
        if self.accepted.cancel(job_id):
            return
        self.scheduler.lifecycle.cancel(job_id, self.now())
        self.wake()

    def find_phase(self, job_id):
        """Return a `PhaseReply`, or an `Err` until the takeover has loaded the jobs."""
        if not self.loaded:
            detail = "dispatcher is still loading jobs"
            return Err(Failure(kind=ErrorKind.NO_LEADER, detail=detail))
        entry = self.scheduler.state.jobs.get(job_id)
        return Ok(build_phase_reply(entry))

    def add_announced_job(self, job, epoch):
        """Add a job announced by the process that stored it.

        Returns an `Err` until the takeover has loaded the jobs.
        """
        if not self.loaded:
            detail = "dispatcher is still loading jobs"
            return Err(Failure(kind=ErrorKind.NO_LEADER, detail=detail))
        self.add_job(job, epoch=epoch)
        return Ok(Noted())

    def count_waiting(self):
        """Return the number of waiting jobs by queue, None until jobs are loaded."""
        return self.scheduler.count_waiting() if self.loaded else None

    async def _plan(self):
        """Plan after every change, and at least every `TICK_S` seconds."""
        last_advance_s = 0.0
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    await self.woken.wait()
                await asyncio.sleep(PLAN_DELAY_S)
            except TimeoutError:
                pass
            self.woken.clear()
            if self.clock.boot_s() - self.last_round_s > PAUSE_S:
                await self._confirm_views()
            self.last_round_s = self.clock.boot_s()
            now = self.now()
            if now - last_advance_s >= TICK_S:
                last_advance_s = now
                self._measure_wall_offset()
                self._note_granting()
                proved_s = now - self.election.proof.age_s()
                self.scheduler.advance(
                    now, proved_s=proved_s, may_start=self.may_grant()
                )
                if self.scheduler.leases.awaits_proof:
                    self.election.proof.read_now()
                for runner in self.scheduler.remove_departed_runners(now):
                    self.journal("runner_forgotten", runner=runner.id)
                    self.fleet.changed.set()
            if self.may_grant():
                self._plan_work(now)
            for order in self.scheduler.take_orders():
                self.calls.send(order)
            self.after_round.make_calls()

    def _plan_work(self, now):
        """Start the tasks that fit, and send the requests for advice."""
        slots = self.advice_balancer.count_slots()
        for request in self.scheduler.plan(now, advice_slots=slots):
            self.spawn(self._request_advice(request))

    def _note_granting(self):
        """Log that the proof of leadership is too old, or young enough again."""
        granting = self.may_grant()
        if granting is not self.granting:
            self.granting = granting
            self.journal("proof_regained" if granting else "proof_expired")

    async def _confirm_views(self):
        """Read the leader key and the registry after a pause of the process.

        Another process may lead by now, and runners may have begun to leave.
        """
        began = self.now()
        self.registry.watch.expire()
        try:
            async with asyncio.timeout(CONFIRM_S):
                await self.election.confirm()
                await self.registry.watch.fresh.wait()
            confirmed = True
        except TimeoutError:
            confirmed = False
        took_ms = int((self.now() - began) * 1000)
        self.journal("views_confirmed", confirmed=confirmed, took_ms=took_ms)

    async def _request_advice(self, request):
        """Ask for advice; a step whose request fails with an error asks again."""
        try:
            await self._ask_for_advice(request)
        except Exception:
            logging.exception("request for advice failed")
            self.scheduler.advisor.record_failure(request.step, self.now())
            self.wake()

    async def _ask_for_advice(self, request):
        began = self.now()
        reply = await self.advice_balancer.ask(request)
        now = self.now()
        step = request.step
        if reply.is_err() and reply.err().kind is ErrorKind.QUEUE_FULL:
            self.metrics.count("advice_deferred")
            self.scheduler.advisor.record_failure(step, now)
            return
        self.journal(
            "advice",
            job=step.job.id,
            step=step.position,
            named=len(request.runners),
            with_room=request.with_room,
            good=len(reply.ok().tickets) if reply.is_ok() else None,
            took_ms=int((now - began) * 1000),
            expected_ms=int(request.expected_s * 1000),
            reason=reply.err().detail if reply.is_err() else None,
        )
        if reply.is_err():
            self.scheduler.advisor.record_failure(step, now)
        else:
            advice = reply.ok()
            self.scheduler.advisor.record_answer(
                step, request.runners, advice.tickets, advice.valid_s, now
            )
        self.wake()
