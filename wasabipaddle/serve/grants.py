"""Slot grants and drain notices of the shards that this process leads."""

import asyncio

from absl import logging
from result import Err

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import VmRole, VmStatus
from wasabipaddle.messages import DrainNotice, GrantRequest
from wasabipaddle.routing import EndpointSlots, GrantTable
from wasabipaddle.timeline import EventKind

__all__ = ["GrantService"]

NOTICE_TIMEOUT_S = 0.5
NOTICE_ATTEMPTS = 3


class GrantService:
    """Replies to grant requests for the shards that this process leads.

    The owner calls `lead` and `step_down` on changes of leadership, and
    `update_endpoints` after `lead` and on every change of the VM list.

    Parameters
    ----------
    context : Context
        Shared services of the process.
    transport : Transport
        Calls to other entry processes.
    """

    def __init__(self, *, context, transport):
        self.context = context
        self.transport = transport
        self.tables = {}
        self.notices = set()
        transport.handle(GrantRequest, self.grant)

    def lead(self, shard, epoch):
        """Start granting slots of a shard as its leader in `epoch`."""
        settings = self.context.settings
        centre = settings.data_centre
        peers = settings.deployment.entries
        self.tables[shard] = GrantTable(
            shard=shard,
            epoch=epoch,
            grant_s=settings.routing.grant_s,
            now=self.context.clock.now(),
            members=[p.name for p in peers if p.data_centre == centre],
        )

    def step_down(self, shard):
        """Stop granting slots of a shard."""
        self.tables.pop(shard, None)

    def update_endpoints(self, shard, entries):
        """Replace the endpoints of a shard and announce those that are leaving.

        Parameters
        ----------
        shard : str
            Name of the shard.
        entries : iterable of VmEntry
            VMs of the shard.
        """
        table = self.tables.get(shard)
        if table is None:
            return
        endpoints = [e for e in entries if e.role is VmRole.ENDPOINT]
        table.set_endpoints(
            [_endpoint_slots(e) for e in endpoints if e.status is not VmStatus.GONE]
        )
        leaving = [e.vm for e in endpoints if e.status is VmStatus.LEAVING]
        self.drain(shard, leaving)

    def drain(self, shard, endpoints):
        """Stop granting slots of endpoints and notify processes that hold grants."""
        table = self.tables.get(shard)
        if table is None:
            return
        announced = [e for e in endpoints if e not in table.leaving]
        if not announced:
            return
        for endpoint in announced:
            table.mark_leaving(endpoint)
            self.context.events.record(EventKind.VM_LEAVING, vm=endpoint)
        logging.info("draining endpoints of shard %s: %s", shard, ", ".join(announced))
        notice = DrainNotice(
            sender=self.context.settings.process,
            shard=shard,
            epoch=table.epoch,
            endpoints=tuple(announced),
        )
        for process in table.holder_names():
            task = asyncio.ensure_future(self._notify(process, notice))
            self.notices.add(task)
            task.add_done_callback(self.notices.discard)

    async def grant(self, message):
        """Reply to a grant request; refuse it unless this process leads the shard."""
        table = self.tables.get(message.shard)
        if table is None:
            detail = f"this process does not lead shard {message.shard}"
            return Err(Failure(kind=ErrorKind.NOT_LEADER, detail=detail))
        return table.request(message, now=self.context.clock.now())

    async def _notify(self, process, notice):
        # A notice without a reply is sent again. If all attempts fail, the next grant
        # reply still excludes the endpoints.
        for _ in range(NOTICE_ATTEMPTS):
            reply = await self.transport.call(
                process, notice, DrainNotice, timeout_s=NOTICE_TIMEOUT_S
            )
            if reply.is_ok():
                return


def _endpoint_slots(entry):
    return EndpointSlots(
        endpoint=entry.vm,
        pool=entry.pool,
        host=entry.host,
        port=entry.port,
        slots=entry.slots,
        connections=entry.connections,
    )
