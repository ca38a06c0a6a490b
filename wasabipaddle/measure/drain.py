"""Measure `drain`: endpoints and entry processes leave under high load."""

import asyncio

import attrs

from wasabipaddle.clock import run_virtual
from wasabipaddle.interfaces import VmStatus
from wasabipaddle.measure.base import Bound, Measure
from wasabipaddle.measure.request_cell import (
    MEAN_FACTOR,
    SLOTS,
    Caller,
    RequestCell,
    lognormal_s,
    make_service,
    send_requests,
)

__all__ = ["DrainMeasure"]

MEDIAN_S = 0.2
MEAN_S = MEDIAN_S * MEAN_FACTOR
LOAD = 0.9
DEADLINE_S = 10.0
WARM_S = 2.0
LIST_LAG_S = 1.5
LIST_PERIOD_S = 1.0
# Time for which the balancer still sends requests to a process that leaves.
BALANCER_LAG_S = 1.0
# Time from the platform's decision that an endpoint leaves to the end of its VM.
GRACE_S = 15.0
BASELINE_LIST_PERIOD_S = 5.0
BASELINE_GRACE_S = 0.5


@attrs.frozen(kw_only=True)
class _Size:
    entries: int
    endpoints: int
    leaving_endpoints: int
    leaving_entries: int


FULL = _Size(entries=8, endpoints=24, leaving_endpoints=6, leaving_entries=3)
QUICK = _Size(entries=3, endpoints=6, leaving_endpoints=2, leaving_entries=2)


class DrainMeasure(Measure):
    """Endpoints leave one after another, then processes, the leader among them.

    The VM list and the balancer show changes late. A leaving endpoint accepts requests
    until its VM ends, `GRACE_S` after the platform's decision.
    """

    name = "drain"
    bounds = (
        Bound(figure="last_new_work_s", comparison="<=", value=3),
        Bound(figure="cut_off", comparison="==", value=0),
        Bound(figure="refused_not_run_false", comparison="==", value=0),
    )

    def run(self, *, seed, quick):
        """Run the system and the baseline on the same input."""
        size = QUICK if quick else FULL
        return self.measurement(
            seed=seed,
            sizes=attrs.asdict(size),
            figures=run_virtual(_Drain(seed, size, use_baseline=False).run()),
            baseline=run_virtual(_Drain(seed, size, use_baseline=True).run()),
        )


class _Drain:
    def __init__(self, seed, size, *, use_baseline):
        self.size = size
        self.seed = seed
        self.service = make_service("s", idempotent=False, deadline_s=DEADLINE_S)
        self.caller = Caller()
        self.cell = RequestCell(
            seed=seed,
            entries=size.entries,
            endpoints=size.endpoints,
            documents=[self.service],
            use_baseline=use_baseline,
        )
        self.leave_decided_at = {}
        self.cut_off = 0

    async def run(self):
        cell, size = self.cell, self.size
        await cell.start()
        steps = size.leaving_endpoints + size.leaving_entries
        until = asyncio.get_running_loop().time() + WARM_S + 2.0 * steps + GRACE_S
        remaining_endpoints = size.endpoints - size.leaving_endpoints
        load = send_requests(
            cell=cell,
            caller=self.caller,
            service="s",
            rate=remaining_endpoints * SLOTS * LOAD / MEAN_S,
            until=until,
            seed=self.seed,
            sample_s=lognormal_s(MEDIAN_S),
            deadline_s=DEADLINE_S,
        )
        tasks = [asyncio.ensure_future(load)]
        await asyncio.sleep(WARM_S)
        for i in range(size.leaving_endpoints):
            tasks.append(asyncio.ensure_future(self._remove_endpoint(f"v{i:02d}")))
            await asyncio.sleep(2.0)
        for i in range(size.leaving_entries):
            tasks.append(asyncio.ensure_future(self._remove_entry(f"e{i}", i + 2)))
            await asyncio.sleep(2.0)
        await asyncio.gather(*tasks)
        await self.caller.wait_until_finished()
        await cell.stop()
        return self._figures()

    async def _remove_endpoint(self, name):
        """Mark a VM as leaving after the list's lag; end it after `GRACE_S`."""
        cell = self.cell
        loop = asyncio.get_running_loop()
        self.leave_decided_at[name] = loop.time()
        lag = LIST_LAG_S + cell.random.uniform(0, LIST_PERIOD_S)
        if cell.use_baseline:
            lag = LIST_LAG_S + cell.random.uniform(0, BASELINE_LIST_PERIOD_S)
        await asyncio.sleep(lag)
        if cell.use_baseline:
            for routing in cell.routings.values():
                routing.servers = [s for s in routing.servers if s.name != name]
        else:
            cell.statuses[name] = VmStatus.LEAVING
            cell.publish_vms()
        await asyncio.sleep(self.leave_decided_at[name] + GRACE_S - loop.time())
        cell.servers[name].leave()

    async def _remove_entry(self, name, epoch):
        """Drain a process that still gets new requests for `BALANCER_LAG_S`."""
        cell = self.cell
        loop = asyncio.get_running_loop()
        asyncio.get_running_loop().call_later(
            BALANCER_LAG_S, cell.in_rotation.remove, name
        )
        if cell.use_baseline:
            await asyncio.sleep(BALANCER_LAG_S + BASELINE_GRACE_S)
            routing = cell.routings[name]
            self.cut_off += routing.slots - routing.free
            return
        if cell.roles.leader == name:
            following = cell.names[cell.names.index(name) + 1]
            cell.take_over(following, epoch=epoch)
        began = loop.time()
        routing = cell.routings[name]
        await routing.drain()
        self.cut_off += len(routing.dispatcher.pending_requests)
        stay_s = BALANCER_LAG_S - (loop.time() - began)
        await asyncio.sleep(max(stay_s, 0))
        await routing.stop()

    def _figures(self):
        cell = self.cell
        servers = [cell.servers[name] for name in self.leave_decided_at]
        last = max(s.last_accepted_s - self.leave_decided_at[s.name] for s in servers)
        not_run = self.caller.not_run
        answered = sum(self.caller.answered.values())
        return {
            "last_new_work_s": round(last, 3),
            "cut_off": self.cut_off + sum(s.cut_off for s in servers),
            "refused_not_run_false": sum(cell.executions(r) > 0 for r in not_run),
            "answered_ratio": round(answered / self.caller.offered, 4),
            "refused": len(not_run),
            "unknown": self.caller.unknown,
        }
