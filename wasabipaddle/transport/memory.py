"""In-memory transport between the entry processes of a test or measurement."""

import asyncio

from result import Err

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.messages import decode, encode_sparse
from wasabipaddle.transport.base import Transport

__all__ = ["MemoryNetwork", "MemoryTransport"]


class MemoryNetwork:
    """Network of in-memory transports with latency, partitions and stopped processes.

    Parameters
    ----------
    latency_s : callable
        Function from the names of source and target to the one-way latency in
        seconds.
    """

    def __init__(self, *, latency_s=lambda source, target: 0.0015):
        self.latency_s = latency_s
        self.transports = {}
        self.cut_pairs = set()
        self.stopped = set()
        self.pair_bytes = {}

    def cut(self, source, target):
        """Drop the messages and replies between two processes, in both directions."""
        self.cut_pairs.add(frozenset((source, target)))

    def heal(self):
        """Remove all partitions."""
        self.cut_pairs.clear()

    def is_connected(self, source, target) -> bool:
        """Return whether a message from `source` currently reaches `target`."""
        if source in self.stopped or target in self.stopped:
            return False
        return frozenset((source, target)) not in self.cut_pairs

    def count(self, source, target, size):
        """Add `size` bytes to the traffic from `source` to `target`."""
        pair = (source, target)
        self.pair_bytes[pair] = self.pair_bytes.get(pair, 0) + size


class MemoryTransport(Transport):
    """Transport of one process on a `MemoryNetwork`.

    Parameters
    ----------
    name : str
        Name of the process.
    network : MemoryNetwork
        Network to which the transport is added.
    context : contextvars.Context or None
        Context in which received messages are handled (see
        `clock.process_context`).
    """

    def __init__(self, *, name, network, context=None):
        super().__init__()
        self.name = name
        self.network = network
        self.context = context
        network.transports[name] = self

    async def call(self, peer, message, reply_type, *, timeout_s):
        """Deliver the message and its reply, each after the latency of the network."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._deliver(peer, message, reply_type)
        except TimeoutError:
            detail = f"no reply from {peer}"
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))

    async def _deliver(self, peer, message, reply_type):
        body = encode_sparse(message)
        self.count_body_bytes(message, len(body))
        self.network.count(self.name, peer, len(body))
        latency = self.network.latency_s(self.name, peer)
        await asyncio.sleep(latency)
        if peer in self.network.stopped or peer not in self.network.transports:
            detail = f"{peer} refuses connections"
            return Err(Failure(kind=ErrorKind.UNREACHABLE, detail=detail))
        if not self.network.is_connected(self.name, peer):
            # A message that is dropped has no reply: wait for the time-out of `call`.
            await asyncio.get_running_loop().create_future()
        target = self.network.transports[peer]
        serving = target.serve(type(message).__name__, body)
        task = asyncio.create_task(serving, context=target.context)
        # The peer continues even if the call times out.
        reply = await asyncio.shield(task)
        await asyncio.sleep(latency)
        if not self.network.is_connected(self.name, peer):
            await asyncio.get_running_loop().create_future()
        if reply.is_err():
            return reply
        self.network.count(peer, self.name, len(reply.unwrap()))
        return decode(reply.unwrap(), reply_type)
