"""The store as one process sees it, with its own addresses of the runners."""

import re

import attrs
from result import Ok

from wasabipaddle.cell.keys import FLEET_KEY
from wasabipaddle.platform.registry import REGISTRY_PREFIX
from wasabipaddle.standins.transactions import TransactionsClient

__all__ = ["ProcessView", "RunnerAddresses"]

ADDRESS_PATTERN = re.compile(rb"127\.0\.0\.1:\d+")


class RunnerAddresses:
    """Addresses at which each process reaches each runner.

    Every process has a proxy of its own for each runner, so that the link knows both
    ends of a connection.
    """

    def __init__(self):
        self.runners = {}
        self.by_process = {}

    def add(self, process, runner, address):
        """Record the address at which a process reaches a runner."""
        self.runners[address.encode()] = runner
        self.by_process[process, runner] = address.encode()

    def translate(self, process, value) -> bytes:
        """Return a stored value with the addresses that a process has to use."""

        def replace(match):
            runner = self.runners.get(match.group())
            return self.by_process.get((process, runner), match.group())

        return ADDRESS_PATTERN.sub(replace, value)


class ProcessView(TransactionsClient):
    """Client of the store that shows a process its own addresses of the runners.

    Parameters
    ----------
    memory : MemoryTransactions
        Content of the store.
    client : str
        Name of the process.
    addresses : RunnerAddresses
        Addresses at which the processes reach the runners.
    """

    def __init__(self, *, memory, client, addresses):
        super().__init__(memory=memory, client=client)
        self.addresses = addresses

    def _translate(self, row):
        """Return an entry or a change with the addresses for this process."""
        has_addresses = row.key.startswith(REGISTRY_PREFIX) or row.key == FLEET_KEY
        if not has_addresses or row.value is None:
            return row
        value = self.addresses.translate(self.client, row.value)
        return attrs.evolve(row, value=value)

    async def get(self, key):
        """Return the entry of a key, or None if it does not exist."""
        found = await super().get(key)
        if found.is_err() or found.ok() is None:
            return found
        return Ok(self._translate(found.ok()))

    async def list_all(self, prefix):
        """Return all entries with a prefix and the revision of the store."""
        page = await super().list_all(prefix)
        if page.is_err():
            return page
        entries = tuple(map(self._translate, page.ok().entries))
        return Ok(attrs.evolve(page.ok(), entries=entries))

    async def follow(self, prefix, *, after_revision, wait_s):
        """Return the changes of a prefix, waiting for the first at most `wait_s`."""
        batch = await super().follow(
            prefix, after_revision=after_revision, wait_s=wait_s
        )
        if batch.is_err():
            return batch
        changes = tuple(map(self._translate, batch.ok().changes))
        return Ok(attrs.evolve(batch.ok(), changes=changes))
