"""Role `shards`: run leaders and slot grants of the shards that this process leads."""

import asyncio

import xxhash
from absl import logging

from wasabipaddle.journal import Journal
from wasabipaddle.kernel import Plugin
from wasabipaddle.leadership import LeaderElected, LeaderSteppedDown
from wasabipaddle.relay import DocumentApplied
from wasabipaddle.runs import Adoption, FleetUpdate, ShardLeader
from wasabipaddle.serve.fleet import FleetChanged, FleetRead
from wasabipaddle.serve.grants import GrantService

__all__ = ["ShardsPlugin", "entries_of_shard"]


def entries_of_shard(entries, shard, shards):
    """Return the VMs of one shard of a data centre, assigned by a hash of the rack.

    Parameters
    ----------
    entries : iterable of VmEntry
        VMs of the data centre.
    shard : str
        Name of the shard.
    shards : sequence of str
        Names of all shards of the data centre.
    """
    position = shards.index(shard)
    return tuple(
        e
        for e in entries
        if xxhash.xxh3_64_intdigest(e.rack.encode()) % len(shards) == position
    )


class ShardsPlugin(Plugin):
    """Starts and stops a `ShardLeader` and slot grants on changes of leadership.

    Attributes
    ----------
    leaders : dict of str to ShardLeader
        Run leaders by shard, for the shards that this process leads.
    """

    name = "shards"
    recovery = Adoption
    requires = ("transport", "platform", "fleet", "leadership", "relay", "store")

    def __init__(self, *, context):
        super().__init__(context=context)
        plugins = context.plugins
        self.leaders = {}
        self.stop_tasks = set()
        self.fleet = plugins["fleet"]
        self.elections = plugins["leadership"].elections
        self.relay = plugins["relay"]
        self.grants = GrantService(
            context=context, transport=plugins["transport"].transport
        )
        bus = context.bus
        bus.events(LeaderElected).subscribe(self._start_leader)
        bus.events(LeaderSteppedDown).subscribe(
            lambda event: self._stop_leader(event.shard)
        )
        bus.events(FleetChanged).subscribe(
            lambda event: self._on_fleet_changed(event.entries)
        )
        bus.events(FleetRead).subscribe(lambda _: self._on_fleet_read())
        bus.events(DocumentApplied).subscribe(lambda _: self._on_documents_changed())

    async def stop(self):
        """Stop every leader."""
        for shard in list(self.leaders):
            self._stop_leader(shard)
        await asyncio.gather(*self.stop_tasks, return_exceptions=True)

    def _start_leader(self, event):
        self._stop_leader(event.shard)
        leader = self._make_leader(event.shard)
        self.leaders[event.shard] = leader
        self.grants.lead(event.shard, event.epoch)
        self._update_vms(event.shard, self.fleet.entries.values())
        self.fleet.request_read()
        leader.start()
        logging.info("leading shard %s under epoch %d", event.shard, event.epoch)

    def _stop_leader(self, shard):
        leader = self.leaders.pop(shard, None)
        if leader is None:
            return
        leader.pool.abandon()
        self.grants.step_down(shard)
        task = asyncio.ensure_future(leader.stop())
        self.stop_tasks.add(task)
        task.add_done_callback(self.stop_tasks.discard)
        logging.info("no longer leading shard %s", shard)

    def _make_leader(self, shard):
        context = self.context
        settings = context.settings
        journal = Journal(
            shard=shard,
            process=settings.process,
            incarnation=context.plugins["membership"].table.incarnation,
            store=context.plugins["store"].gate.store_for("journal"),
            clock=context.clock,
            settings=settings.journal,
            random=context.random,
        )
        return ShardLeader(
            election=self.elections[shard],
            journal=journal,
            connect=context.plugins["platform"].connect_worker,
            documents=self.relay,
            context=context,
            recovery=self.recovery,
        )

    def _on_fleet_changed(self, entries):
        for shard in self.leaders:
            self._update_vms(shard, entries)

    def _on_fleet_read(self):
        """Pass on an unchanged list if a leader waits for one of its own term."""
        for shard, leader in self.leaders.items():
            if not leader.pool.list_received:
                self._update_vms(shard, self.fleet.entries.values())

    def _update_vms(self, shard, entries):
        settings = self.context.settings
        shards = settings.shards_of(settings.data_centre)
        selected = entries_of_shard(entries, shard, shards)
        if selected:
            update = FleetUpdate(entries=selected, read_at=self.fleet.read_at)
            self.leaders[shard].update_fleet(update)
            self.grants.update_endpoints(shard, selected)

    def _on_documents_changed(self):
        for leader in self.leaders.values():
            leader.update_limits()
