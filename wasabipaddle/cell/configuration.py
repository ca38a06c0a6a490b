"""Role `cell_configuration`: the operator's configuration in force here."""

import asyncio

from wasabipaddle.cell.facts import ConfigurationChanged
from wasabipaddle.cell.store import CellStorePlugin
from wasabipaddle.kernel import Plugin
from wasabipaddle.platform import CONFIGURATION_KEY, decode_configuration
from wasabipaddle.serve.tasks import TaskSet

__all__ = ["ConfigurationPlugin"]

WATCH_S = 10.0
# Plain reads find a version that a watch missed.
READ_PERIOD_S = 1.5
RETRY_S = 0.15


class ConfigurationPlugin(Plugin):
    """Follows the configuration; only a higher version replaces the one in force.

    Attributes
    ----------
    current : CellConfiguration or None
        Configuration in force.
    """

    name = "cell_configuration"
    requires = (CellStorePlugin.name,)

    def __init__(self, *, context):
        super().__init__(context=context)
        self.current = None
        self.tasks = TaskSet()
        self.wanted = asyncio.Event()
        self.known_version = 0

    async def start(self):
        """Start to follow the configuration."""
        self.access = self.context.plugins[CellStorePlugin.name]
        self.tasks.spawn(self._read_periodically())
        self.tasks.spawn(self._watch())

    async def stop(self):
        """Stop following."""
        await self.tasks.close()

    @property
    def version(self) -> int:
        """Version in force, 0 for none."""
        return self.current.version if self.current else 0

    def observe(self, version):
        """Note that some process knows a version; read it if it is newer."""
        if version > max(self.version, self.known_version):
            self.known_version = version
            self.wanted.set()

    async def _read_periodically(self):
        while True:
            await self._read()
            # The read is also the probe that finds a store that is back.
            away = self.current is None or self.access.health.away
            delay_s = RETRY_S if away else READ_PERIOD_S
            try:
                async with asyncio.timeout(delay_s):
                    await self.wanted.wait()
            except TimeoutError:
                pass
            self.wanted.clear()

    async def _read(self):
        entry = await self.access.call(self.access.store.get(CONFIGURATION_KEY))
        if entry.is_ok() and entry.ok() is not None:
            self._take(entry.ok().value)

    def _take(self, value):
        decoded = decode_configuration(value)
        if decoded.is_err():
            detail = decoded.err().detail
            self.context.journal("configuration_unreadable", reason=detail)
            return
        configuration = decoded.ok()
        if configuration.version <= self.version:
            return
        self.context.journal(
            "configuration_applied",
            version=configuration.version,
            before=self.version,
            queues=len(configuration.queues),
        )
        self.current = configuration
        self.context.bus.publish(ConfigurationChanged(configuration=configuration))

    async def _watch(self):
        revision = None
        while True:
            if revision is None:
                page = await self.access.store.list_all(CONFIGURATION_KEY)
                if page.is_err():
                    await asyncio.sleep(RETRY_S)
                    continue
                for entry in page.ok().entries:
                    self._take(entry.value)
                revision = page.ok().revision
            batch = await self.access.store.follow(
                CONFIGURATION_KEY, after_revision=revision, wait_s=WATCH_S
            )
            if batch.is_err():
                revision = None
                await asyncio.sleep(RETRY_S)
                continue
            revision = batch.ok().revision
            for change in batch.ok().changes:
                if change.key == CONFIGURATION_KEY and change.value is not None:
                    self._take(change.value)
