"""Times and contents of the inventory calls to a runner."""

import asyncio

import attrs

__all__ = ["InventoryCall", "InventoryPolling"]

# Longest time that a runner holds back an inventory until a run ends: with urgent runs,
# with other runs (the inventory extends the lease of both), and without runs. A lease
# has to outlast a wait, a second one without a response, and a retry.
URGENT_WAIT_S = 1.2
BUSY_WAIT_S = 1.5
IDLE_WAIT_S = 1.9
# Longest such time for a runner on which opportunistic tasks share the VM with tasks
# that have a target latency; short, so that the pace follows the latency soon.
SHARED_WAIT_S = 0.4
# Such time while the proof of leadership is older than `OLD_PROOF_S`. The leases that
# are granted last, before the proof is too old, then begin late.
OLD_PROOF_WAIT_S = 0.4
OLD_PROOF_S = 1.5
# Such time while the next inventories decide whether a run exists, so that its task can
# start again soon if it does not.
UNCERTAIN_WAIT_S = 0.1
# Such time while a runner has to answer a call of a higher epoch than those that it may
# carry out late, and none is known yet.
FENCE_WAIT_S = 0.4
# Interval and limit of the pause after an inventory with ended runs, so that the next
# inventory lists several of them.
ENDED_RUNS_DELAY_S = 0.05
MAX_ENDED_RUNS_DELAY_S = 0.3


@attrs.frozen(kw_only=True)
class InventoryCall:
    """Request of an inventory.

    Parameters
    ----------
    requested_s : float
        Time of the request.
    epoch : int
        Epoch of the call.
    acknowledged : int
        Number up to which the runner forgets its ended runs, 0 for none.
    lease_until_ms, previous_until_ms : int
        New end of the lease, 0 to leave it unchanged, and the end before.
    wait_s : float
        Longest time for which the runner may hold back its answer.
    """

    requested_s: float
    epoch: int
    acknowledged: int
    lease_until_ms: int
    previous_until_ms: int
    wait_s: float


class InventoryPolling:
    """Decides when the inventory of a runner is requested, and with what.

    Parameters
    ----------
    session : DispatchSession
        Provides the scheduler, the epoch and the proof of leadership.
    """

    def __init__(self, *, session):
        self.session = session
        self.scheduler = session.scheduler

    def prepare(self, runner, failures):
        """Return the next `InventoryCall` to a runner, and count its lease.

        After a failure another incarnation may answer, so ends are not acknowledged,
        and the lease is not extended, or that of a silent runner would never expire.
        """
        session, scheduler = self.session, self.scheduler
        epoch = self.choose_epoch(runner)
        wait_s = self._wait_s(runner, failures, epoch)
        previous_until_ms = runner.inventory_lease_until_ms
        acknowledged = lease_until_ms = 0
        if not failures:
            acknowledged = scheduler.acknowledgements.select(runner)
            if self._may_extend(runner):
                lease_until_ms = scheduler.leases.extend_by_inventory(
                    runner, session.now()
                )
        return InventoryCall(
            requested_s=session.now(),
            epoch=epoch,
            acknowledged=acknowledged,
            lease_until_ms=lease_until_ms,
            previous_until_ms=previous_until_ms,
            wait_s=wait_s,
        )

    def choose_epoch(self, runner) -> int:
        """Return the epoch of the next call to a runner."""
        return self.scheduler.acknowledgements.choose_epoch(runner, self.session.epoch)

    async def wait_for_ended_runs(self, runner):
        """Pause until more runs may have ended, or until urgent work waits for them.

        The acknowledgement of the ends has to wait for the replies to starts.
        """
        if self._needs_second_list(runner):
            return
        paused_s = 0.0
        while paused_s < MAX_ENDED_RUNS_DELAY_S:
            await asyncio.sleep(ENDED_RUNS_DELAY_S)
            paused_s += ENDED_RUNS_DELAY_S
            if self.scheduler.acknowledgements.awaits_replies(runner):
                continue
            if self.scheduler.state.urgent_task_waiting or _ends_urgent_step(runner):
                return

    def _wait_s(self, runner, failures, epoch):
        if failures or not runner.inventoried or self._needs_second_list(runner):
            return 0.0
        if runner.late_epoch is not None:
            return 0.0 if epoch > runner.late_epoch else FENCE_WAIT_S
        if any(run.uncertain for run in runner.runs.values()):
            return UNCERTAIN_WAIT_S
        if self.session.election.proof.age_s() > OLD_PROOF_S:
            return OLD_PROOF_WAIT_S
        if not runner.runs:
            return IDLE_WAIT_S
        specs = [run.task.spec for run in runner.runs.values()]
        if any(s.opportunistic for s in specs) and any(
            s.target_latency_ms for s in specs
        ):
            return SHARED_WAIT_S
        return URGENT_WAIT_S if _has_urgent(runner) else BUSY_WAIT_S

    def _needs_second_list(self, runner):
        """Return whether the next inventory decides about a suspect runner."""
        suspect = runner.id in self.scheduler.state.suspects
        return suspect and runner.whole_list_s is not None

    def _may_extend(self, runner):
        """Return whether the lease of a runner may be extended.

        A successor waits for no longer than the stored wait for a suspect runner, so
        the record must name the runner without a wait before its lease is extended.
        """
        return self.session.may_grant() and runner.in_fleet_record


def _has_urgent(runner):
    return any(run.task.step.job.queue.priority == 0 for run in runner.runs.values())


def _ends_urgent_step(runner):
    """Return whether the last remaining task of an urgent step runs on a runner."""
    return any(
        run.task.step.remaining == 1 and run.task.step.job.queue.priority == 0
        for run in runner.runs.values()
    )
