"""Calls to runners: orders, and long polls of their inventories."""

import asyncio

from absl import logging
from result import Err

from wasabipaddle.cell.polling import InventoryPolling
from wasabipaddle.dispatch import PaceTask, StartOutcome, StartTask, StopTask
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import Refusal, StartOrder
from wasabipaddle.platform import PlatformRunner

__all__ = ["RunnerCalls"]

ORDER_TIMEOUT_S = 0.6
# Largest number of concurrent stop calls to a runner. Fewer than its connections, so
# that the end of a very large job delays neither inventories nor starts.
MAX_CONCURRENT_STOPS = 16
INVENTORY_TIMEOUT_S = 0.6
RETRY_S = 0.1
MAX_RETRY_S = 0.8
MS_PER_S = 1000


class RunnerCalls:
    """Sends orders and keeps one inventory call open for each runner.

    Parameters
    ----------
    session : DispatchSession
        Provides the scheduler, the epoch and the background tasks.

    Attributes
    ----------
    clients : dict of str to PlatformRunner
        Clients by runner.
    watched : dict of str to RunnerState
        Runners whose inventories are polled.
    open_inventories : dict of str to asyncio.Task
        Inventory calls in progress by runner.
    stop_slots : dict of str to asyncio.Semaphore
        Limits of the concurrent stop calls by runner.
    pending_stops : set of tuple of (str, TaskId, int)
        Runner, task and run number of the stops that wait or are in progress.
    """

    def __init__(self, *, session):
        self.session = session
        self.scheduler = session.scheduler
        self.clients = {}
        self.watched = {}
        self.open_inventories = {}
        self.stop_slots = {}
        self.pending_stops = set()
        self.polling = InventoryPolling(session=session)

    def ensure_inventory(self, runner):
        """Poll the inventory of a runner in the background, unless this is running."""
        if self.watched.get(runner.id) is runner:
            return
        self.watched[runner.id] = runner
        self.clients[runner.id] = PlatformRunner(
            runner=runner.id, address=runner.entry.address
        )
        self.session.keep_running(self._watch, runner, self.clients[runner.id])

    def send(self, order):
        """Send an order in the background, without waiting for the response."""
        if isinstance(order, StartTask):
            self.session.spawn(self._start(order))
        elif isinstance(order, StopTask):
            self.session.spawn(self._stop(order))
        elif isinstance(order, PaceTask):
            self.session.spawn(self._pace(order))

    async def _start(self, order):
        """Send a start; after an unexpected error, whether it was delivered is unknown.

        The run would otherwise keep its reservation until the end of the leadership.
        """
        try:
            await self._send_start(order)
        except Exception:
            logging.exception("start of %s failed", order.run.key)
            self.scheduler.replies.start_replied(
                order.run, StartOutcome.UNKNOWN, None, self.session.now()
            )
            self.session.wake()

    async def _send_start(self, order):
        run, session = order.run, self.session
        runner, task = run.runner, run.task
        client = self.clients.get(runner.id)
        if client is None or not session.may_grant():
            outcome = StartOutcome.NOT_DELIVERED
            self.scheduler.replies.start_replied(run, outcome, None, session.now())
            return
        run.start_before_ms = self.scheduler.leases.extend_by_start(
            runner, session.now()
        )
        run.start_epoch = self.polling.choose_epoch(runner)
        message = StartOrder(
            task=task.id,
            run=run.number,
            payload=task.step.job.job.spec.payload,
            start_before_ms=run.start_before_ms,
            epoch=run.start_epoch,
            checkpoint=task.checkpoint,
            ticket=order.ticket,
        )
        sent_s = session.now()
        result = await client.start(message, timeout_s=ORDER_TIMEOUT_S)
        now = session.now()
        outcome, reply = StartOutcome.REPLIED, None
        if result.is_ok():
            reply = result.ok()
            self._check_epoch(runner, reply, message.epoch)
        elif result.err().kind is ErrorKind.UNREACHABLE:
            outcome = StartOutcome.NOT_DELIVERED
        else:
            outcome = StartOutcome.UNKNOWN
            self.scheduler.acknowledgements.record_unanswered(runner, 0, sent_s=sent_s)
        session.journal(
            "run_started",
            job=task.id.job,
            task=task.id[1:],
            run=run.number,
            runner=runner.id,
            outcome=outcome.value if reply is None else reply.refusal.value,
            waited_ms=int((sent_s - task.waiting_since_s) * 1000),
            took_ms=int((now - sent_s) * 1000),
            registry_age_ms=int(session.registry.watch.age_s() * 1000),
        )
        session.metrics.count(f"starts_{outcome.value}")
        session.metrics.observe("start_wait", sent_s - task.waiting_since_s)
        session.metrics.observe("start_call", now - sent_s)
        self.scheduler.replies.start_replied(run, outcome, reply, now, sent_s=sent_s)
        self._check_incarnation(runner)
        failed = (
            outcome is not StartOutcome.REPLIED or reply.refusal is not Refusal.NONE
        )
        if failed or self.scheduler.placement.deferred:
            session.wake()

    def _check_epoch(self, runner, reply, epoch):
        """Step down if a runner refuses the highest epoch of this process for it.

        An order that was sent under an earlier epoch of this leadership says nothing.
        """
        if reply.refusal is not Refusal.STALE_EPOCH:
            return
        if epoch == max(runner.epoch, self.session.epoch):
            self.session.step_down(f"{runner.id} has seen a later epoch")

    async def _stop(self, order):
        """Send a stop, after others to the runner, unless the same one is pending."""
        key = (order.runner.id, order.task, order.number)
        if key in self.pending_stops:
            return
        slots = self.stop_slots.setdefault(
            order.runner.id, asyncio.Semaphore(MAX_CONCURRENT_STOPS)
        )
        self.pending_stops.add(key)
        try:
            async with slots:
                await self._send_stop(order)
        finally:
            self.pending_stops.discard(key)

    async def _send_stop(self, order):
        session, runner = self.session, order.runner
        client = self.clients.get(runner.id)
        if client is None:
            return
        epoch = self.polling.choose_epoch(runner)
        sent_s = session.now()
        result = await client.stop(
            order.task, order.number, epoch=epoch, timeout_s=ORDER_TIMEOUT_S
        )
        session.journal(
            "run_stopped",
            job=order.task.job,
            task=order.task[1:],
            run=order.number,
            runner=runner.id,
            outcome=(
                result.ok().refusal.value if result.is_ok() else result.err().kind.value
            ),
        )
        if result.is_ok():
            self._check_epoch(runner, result.ok(), epoch)
            self.scheduler.replies.stop_replied(
                runner,
                order.task,
                order.number,
                result.ok(),
                session.now(),
                sent_s=sent_s,
            )
            self._check_incarnation(runner)

    def _check_incarnation(self, runner):
        """Request the inventory of a runner anew if its incarnation is in doubt.

        The open call may be one to an earlier incarnation, and never be answered.
        """
        open_call = self.open_inventories.get(runner.id)
        if runner.doubted_s is not None and open_call is not None:
            open_call.cancel()

    async def _pace(self, order):
        session, run = self.session, order.run
        client = self.clients.get(run.runner.id)
        if client is None:
            return
        result = await client.pace(
            run.task.id,
            run.number,
            percent=order.percent,
            epoch=self.polling.choose_epoch(run.runner),
            timeout_s=ORDER_TIMEOUT_S,
        )
        if result.is_ok() and result.ok().refusal is Refusal.NONE:
            run.pace = order.percent
        session.journal(
            "run_paced",
            job=run.task.id.job,
            task=run.task.id[1:],
            runner=run.runner.id,
            percent=order.percent,
            answered=result.is_ok(),
        )

    async def _watch(self, runner, client):
        """Poll the inventory of a runner until the scheduler removes the runner."""
        session, scheduler = self.session, self.scheduler
        failures = 0
        while scheduler.state.runners.get(runner.id) is runner:
            call = self.polling.prepare(runner, failures)
            result = await self._request_inventory(runner, client, call)
            now = session.now()
            if result.is_ok() and result.ok().refusal is Refusal.STALE_EPOCH:
                self._check_epoch(runner, result.ok(), call.epoch)
                await asyncio.sleep(RETRY_S)
                continue
            if result.is_err() or result.ok().refusal is not Refusal.NONE:
                failures += 1
                self._inventory_failed(runner, result, failures, now, call)
                await asyncio.sleep(min(RETRY_S * failures, MAX_RETRY_S))
                continue
            if failures:
                self._runner_regained(runner, result.ok(), failures, now)
            # After a failure the lease has to be extended without a pause.
            ended = bool(result.ok().ended) and not failures
            failures = 0
            scheduler.reports.process_inventory(
                runner,
                result.ok(),
                now,
                requested_s=call.requested_s,
                acknowledged=call.acknowledged,
                epoch=call.epoch,
            )
            if not result.ok().complete:
                session.metrics.count("inventories_incomplete")
            scheduler.watchdog.set_paces(runner)
            session.wake()
            session.metrics.count("inventories")
            if ended:
                await self.polling.wait_for_ended_runs(runner)
        if self.watched.get(runner.id) is runner:
            del self.watched[runner.id]
            del self.clients[runner.id]
            self.stop_slots.pop(runner.id, None)
        await client.close()

    async def _request_inventory(self, runner, client, call):
        """Make an `InventoryCall`, which `_check_incarnation` may end."""
        request = asyncio.ensure_future(
            client.inventory(
                epoch=call.epoch,
                acknowledged=call.acknowledged,
                lease_until_ms=call.lease_until_ms,
                wait_s=call.wait_s,
                timeout_s=call.wait_s + INVENTORY_TIMEOUT_S,
            )
        )
        if runner.doubted_s is None:
            self.open_inventories[runner.id] = request
        try:
            await asyncio.wait({request})
        finally:
            self.open_inventories.pop(runner.id, None)
            if not request.done():
                request.cancel()
                await asyncio.wait({request})
        if request.cancelled():
            detail = "the incarnation is in doubt"
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))
        return request.result()

    def _runner_regained(self, runner, inventory, failures, now):
        runner.paused_until_s = now
        self.session.journal(
            "runner_regained",
            runner=runner.id,
            failures=failures,
            lease_left_ms=runner.lease_left_ms(now),
            running=len(inventory.running),
            ended=len(inventory.ended),
        )

    def _inventory_failed(self, runner, result, failures, now, call):
        """Process an `InventoryCall` without a usable answer."""
        self.scheduler.inventory_failed(runner, now)
        if result.is_err() and result.err().kind is ErrorKind.UNREACHABLE:
            self.scheduler.leases.revert_inventory(runner, call.previous_until_ms)
        elif result.is_err() and (call.lease_until_ms or call.acknowledged):
            self.scheduler.acknowledgements.record_unanswered(
                runner, call.acknowledged, sent_s=call.requested_s
            )
        elif result.is_ok() and result.ok().refusal is Refusal.OTHER_INCARNATION:
            self.scheduler.runner_exited(runner, now)
            self.session.wake()
        if failures == 1:
            reason = result.err().kind if result.is_err() else result.ok().refusal
            detail = result.err().detail if result.is_err() else ""
            self.session.journal(
                "runner_lost",
                runner=runner.id,
                reason=reason.value,
                detail=detail,
                runs=len(runner.runs),
                lease_left_ms=runner.lease_left_ms(now),
                inventory_age_ms=int((now - runner.last_inventory_s) * MS_PER_S),
            )

    async def close(self):
        """Close the connections to all runners."""
        for client in self.clients.values():
            await client.close()
