"""Role `cell_distribution`: sends the configuration to all processes."""

import asyncio
import zlib

import attrs
from result import Err, Ok

from wasabipaddle.cell.configuration import ConfigurationPlugin
from wasabipaddle.cell.events import ConfigurationChanged, MemberOutdated
from wasabipaddle.cell.members import MembersPlugin
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.kernel import Plugin
from wasabipaddle.messages.jobs import ConfigurationCopy, Noted
from wasabipaddle.serve.tasks import TaskSet

__all__ = ["DistributionPlugin", "decompress"]

COPY_TIMEOUT_S = 2.0
# Limit of concurrent transfers; the data of a copy may reach half a megabyte.
MAX_CONCURRENT_COPIES = 12
# Largest size of a configuration; values of the store are smaller.
MAX_VALUE_BYTES = 16 * 1024 * 1024


class DistributionPlugin(Plugin):
    """Sends each new configuration from the leader to all processes.

    The copies are compressed. If the processes read the configuration from the store,
    it would cross the link between regions uncompressed, once for each process.
    """

    name = "cell_distribution"
    requires = (ConfigurationPlugin.name, MembersPlugin.name)

    def __init__(self, *, context):
        super().__init__(context=context)
        self.tasks = TaskSet()
        self.slots = asyncio.Semaphore(MAX_CONCURRENT_COPIES)
        self.copy = None
        self.sending = set()

    async def start(self):
        """Accept copies; send them to all as leader, and to any outdated process."""
        plugins = self.context.plugins
        self.configuration = plugins[ConfigurationPlugin.name]
        self.members = plugins[MembersPlugin.name]
        self.members.transport.handle(ConfigurationCopy, self._handle_copy)
        bus = self.context.bus
        bus.events(ConfigurationChanged).subscribe(lambda _: self._send_all())
        bus.events(MemberOutdated).subscribe(lambda event: self._send(event.process))

    async def stop(self):
        """Cancel all transfers in progress."""
        await self.tasks.close()

    def _send_all(self):
        """Send the current version to the live processes.

        Others get it when their next hello message shows that they are outdated;
        attempts to reach removed ones would only hold up the copies for live ones.
        """
        if self.members.is_leader:
            for process in self.members.roster.live():
                self._send(process)

    def _send(self, process):
        """Send the current version to a process, unless it is already being sent."""
        version = self.configuration.version
        if process == self.members.own_name or (process, version) in self.sending:
            return
        self.sending.add((process, version))
        self.tasks.spawn(self._deliver(process, version))

    async def _deliver(self, process, version):
        try:
            async with self.slots:
                leader = self.members.build_leader_notice()
                copy = attrs.evolve(self._build_copy(), leader=leader)
                noted = await self.members.ask(
                    process, copy, Noted, timeout_s=COPY_TIMEOUT_S
                )
            outcome = "delivered" if noted.is_ok() else "failed"
            self.context.metrics.count(f"configuration_copies_{outcome}")
        finally:
            self.sending.discard((process, version))

    def _build_copy(self):
        """Return the message with the current configuration, built once per version."""
        if self.copy is None or self.copy.version != self.configuration.version:
            self.copy = ConfigurationCopy(
                version=self.configuration.version,
                revision=self.configuration.watch.revision or 0,
                data=zlib.compress(self.configuration.value),
            )
        return self.copy

    async def _handle_copy(self, copy):
        if copy.version > self.configuration.version:
            value = decompress(copy.data)
            if value is None:
                detail = "the copy of the configuration cannot be decompressed"
                return Err(Failure(kind=ErrorKind.INVALID_REQUEST, detail=detail))
            self.configuration.apply_copy(value, copy.revision)
        self.members.accept_leader_notice(copy.leader)
        return Ok(Noted())


def decompress(data):
    """Return decompressed data, None if it is malformed or too large."""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, MAX_VALUE_BYTES)
    except zlib.error:
        return None
    return value if decompressor.eof else None
