"""Role `cell_entry`: serves the callers that are connected to this process."""

import asyncio

from result import Ok

from wasabipaddle.cell.admission import Admission
from wasabipaddle.cell.configuration import ConfigurationPlugin
from wasabipaddle.cell.job_storage import JobStorage, fail, not_configured
from wasabipaddle.cell.members import MembersPlugin
from wasabipaddle.cell.store import CellStorePlugin
from wasabipaddle.cell.stored_jobs import find_stored_phase
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.ingress import RequestLimits
from wasabipaddle.jobs import (
    Job,
    Limits,
    identify_workspace,
    may_reach,
    requires_key,
)
from wasabipaddle.kernel import Plugin
from wasabipaddle.messages.jobs import (
    CancelJob,
    JobCancelled,
    PhaseReply,
    QueryPhase,
    StoreJob,
)
from wasabipaddle.platform import CallerListener
from wasabipaddle.serve.tasks import TaskSet

__all__ = ["EntryPlugin"]

UNCONFIGURED_LIMITS = Limits()
# Part of the time limit of a call that is reserved for sending the response.
RESPONSE_RESERVE_S = 0.3
# Longest wait for the phase of a job from the dispatcher; also limited to half of the
# time limit of the call, so that the store can still be read.
LEADER_TIMEOUT_S = 0.5
# Age up to which the numbers of waiting jobs in a reply of the leader are used.
WAITING_VALID_S = 2.0
# Time for two failed probes, after which the load balancer stops sending calls to a
# draining process.
PROBE_GRACE_S = 2.2
DRAIN_CHECK_S = 0.02
# Part of the grace period that is kept for the rest of the shutdown.
DRAIN_RESERVE_S = 1.5
MS_PER_S = 1000
# Shortest time between two log lines on calls without a queue, and the longest part of
# a host or path in them.
REPORT_INTERVAL_S = 1.0
MAX_LOGGED_CHARACTERS = 200


class EntryPlugin(Plugin):
    """Accepts and cancels jobs and returns their phases.

    A job exists once its key has been created in the store. A repeated submission with
    the same identifier, at any process, finds that key and creates no second job.

    Attributes
    ----------
    known_limits, known_request_limits : Limits and RequestLimits
        Latest limits of the configuration, and the same as the listeners need them.
    """

    name = "cell_entry"
    requires = (CellStorePlugin.name, ConfigurationPlugin.name, MembersPlugin.name)

    def __init__(self, *, context):
        super().__init__(context=context)
        self.listener = CallerListener(service=self)
        self.tasks = TaskSet()
        self.draining = False
        self.known_limits = self.known_request_limits = None
        self.next_report_s = 0.0

    async def start(self):
        """Register the handlers of messages from peers and listen for callers."""
        plugins = self.context.plugins
        self.store_plugin = plugins[CellStorePlugin.name]
        self.store = self.store_plugin.store
        self.configuration = plugins[ConfigurationPlugin.name]
        self.members = plugins[MembersPlugin.name]
        self.admission = Admission(
            context=self.context,
            configuration=self.configuration,
            members=self.members,
            store_plugin=self.store_plugin,
        )
        self.storage = JobStorage(
            context=self.context,
            configuration=self.configuration,
            members=self.members,
            store_plugin=self.store_plugin,
            marks=self.admission.marks,
            tasks=self.tasks,
        )
        self.members.transport.handle(StoreJob, self.storage.store_for_peer)
        self.members.transport.handle(CancelJob, self.storage.cancel_for_peer)
        settings = self.context.settings
        await self.listener.open(
            callers_address=settings.callers, readiness_address=settings.readiness
        )

    async def drain(self):
        """Fail the probes of the load balancer, then finish the calls in progress."""
        self.draining = True
        self.listener.closing = True
        clock = self.context.clock
        until_s = clock.now() + self.context.settings.bounds.grace_s - DRAIN_RESERVE_S
        await asyncio.sleep(min(PROBE_GRACE_S, max(until_s - clock.now(), 0.0)))
        while self.listener.in_progress and clock.now() < until_s:
            await asyncio.sleep(DRAIN_CHECK_S)

    async def stop(self):
        """Close the listeners."""
        await self.tasks.close()
        await self.listener.close()

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send calls to this process."""
        current = self.configuration.current
        if current is None or self.draining:
            return False
        return not (current.requires_keys and self.configuration.proof_overdue)

    def request_limits(self) -> RequestLimits:
        """Return the limits on a request that begins now."""
        current = self.configuration.current
        limits = UNCONFIGURED_LIMITS if current is None else current.limits
        if limits is not self.known_limits:
            self.known_limits = limits
            self.known_request_limits = _request_limits(limits)
        return self.known_request_limits

    def select_queue(self, host, path):
        """Return the queue for the host and path of a call."""
        current = self.configuration.current
        if current is None:
            return not_configured()
        queue = current.match(host, path)
        if queue is None:
            self._report_unknown_queue(host, path)
            return fail(ErrorKind.NOT_FOUND, "no queue for this host and path")
        return Ok(queue)

    def _report_unknown_queue(self, host, path):
        """Count a call without a queue; log the version that decided it."""
        self.context.metrics.count("calls_without_queue")
        now = self.context.clock.now()
        if now < self.next_report_s:
            return
        self.next_report_s = now + REPORT_INTERVAL_S
        age_s = self.configuration.state_proof_age()
        self.context.journal(
            "queue_not_found",
            host=host[:MAX_LOGGED_CHARACTERS],
            path=path[:MAX_LOGGED_CHARACTERS],
            version=self.configuration.version,
            age_ms=None if age_s is None else int(age_s * MS_PER_S),
        )

    def identify(self, queue, key):
        """Return the workspace for which a call acts, in a `Result`.

        The name is empty if the queue needs no key. Without a proof that the current
        configuration is young enough, no key is accepted or refused as unknown.
        """
        current = self.configuration.current
        if not requires_key(current, queue):
            return Ok("")
        if self.configuration.check_proof():
            identified = identify_workspace(current, queue, key)
        else:
            detail = "the configuration may be out of date"
            identified = fail(ErrorKind.STALE_CONFIGURATION, detail)
        if identified.is_err():
            self.context.metrics.count(f"calls_refused_{identified.err().kind.value}")
        return identified

    async def submit(self, queue, job_id, spec, *, wait_s, workspace=""):
        """Store a job and notify the dispatcher."""
        job = Job(
            id=job_id,
            policy=queue,
            accepted_ms=self.context.clock.wall_ms(),
            spec=spec,
            workspace=workspace,
        )
        began = self.context.clock.now()
        submission = self.storage.begin(job)
        accepted = await self.admission.check(job)
        if accepted.is_ok():
            accepted = await self.storage.store(
                submission, until_s=began + wait_s - RESPONSE_RESERVE_S
            )
        self.context.journal(
            "job_accepted" if accepted.is_ok() else "job_refused",
            job=job_id,
            queue=queue.name,
            workspace=workspace,
            configuration=self.configuration.version,
            took_ms=int((self.context.clock.now() - began) * MS_PER_S),
            reason=accepted.err().kind.value if accepted.is_err() else None,
            detail=accepted.err().detail if accepted.is_err() else None,
        )
        metrics = self.context.metrics
        metrics.observe("acceptance", self.context.clock.now() - began)
        if accepted.is_ok():
            metrics.count("jobs_accepted")
            self.storage.announce(job, accepted.ok())
        else:
            metrics.count(f"jobs_refused_{accepted.err().kind.value}")
        return accepted

    async def find_phase(self, queue, job_id, *, wait_s, workspace=""):
        """Return the phase of a job, from the dispatcher or else from the store."""
        reply = await self.members.ask_leader(
            QueryPhase(job=job_id),
            PhaseReply,
            timeout_s=min(LEADER_TIMEOUT_S, wait_s / 2),
        )
        current = self.configuration.current
        known = reply.ok() if reply.is_ok() else PhaseReply()
        if known.phase is not None and may_reach(
            current,
            queue.name,
            workspace,
            owner=known.workspace,
            owner_queue=known.queue,
        ):
            return Ok(known.phase)
        if known.phase is not None and known.workspace is not None:
            return fail(ErrorKind.GONE, "no such job")
        return await find_stored_phase(
            self.store_plugin, current, queue.name, job_id, workspace=workspace
        )

    async def cancel(self, queue, job_id, *, wait_s, workspace=""):
        """Store the cancellation of a job and notify the dispatcher."""
        until_s = self.context.clock.now() + wait_s - RESPONSE_RESERVE_S
        message = CancelJob(job=job_id, queue=queue.name, workspace=workspace)
        cancelled = await self.storage.cancel(message, until_s=until_s)
        self.context.journal(
            "job_cancelled" if cancelled.is_ok() else "cancel_refused",
            job=job_id,
            reason=cancelled.err().kind.value if cancelled.is_err() else None,
        )
        if cancelled.is_ok():
            self.storage.notify(JobCancelled(job=job_id))
        return cancelled

    async def count_waiting(self, queue, *, wait_s):
        """Return the number of waiting jobs of a queue."""
        members = self.members
        fresh = self.context.clock.now() - members.waiting_received_s < WAITING_VALID_S
        waiting = members.count_waiting()
        if waiting is None and fresh:
            waiting = members.waiting
        if waiting is None:
            return fail(ErrorKind.NO_LEADER, "no recent reply from the dispatcher")
        return Ok(waiting.get(queue.name, 0))


def _request_limits(limits):
    """Return the limits of a configuration as the listeners need them."""
    return RequestLimits(
        max_head_bytes=limits.max_header_bytes or UNCONFIGURED_LIMITS.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_s=limits.header_s,
        idle_s=limits.idle_s,
    )
