"""One JSON line for each decision, written without blocking."""

import collections
import os

import msgspec

__all__ = ["Journal"]

MAX_QUEUED_LINES = 4_000
WRITE_BYTES = 65_536
FLUSH_S = 0.02
# Lines of one kind that may be written at once, and how fast that allowance grows.
BURST_LINES = 400
LINES_PER_S = 150.0


class Journal:
    """Writes events as JSON lines to a descriptor.

    A line that the token bucket of its kind does not admit is counted and reported
    with the next line of that kind. Lines are queued, and dropped and counted when
    the queue is full; a reader that does not read holds nobody up.

    Parameters
    ----------
    process : str
        Name of the process.
    clock : Clock
        Source of time.
    timers : TimerService
        Runs the writes.
    descriptor : int
        Open descriptor to write to.
    """

    def __init__(self, *, process, clock, timers, descriptor=1):
        self.process = process
        self.clock = clock
        self.timers = timers
        self.descriptor = descriptor
        self.queue = collections.deque()
        self.partial = b""
        self.buckets = {}
        self.suppressed = collections.Counter()
        self.dropped = 0
        self.scheduled = False
        os.set_blocking(descriptor, False)

    def __call__(self, kind, **values):
        """Write one line of a kind with named values; None values are left out."""
        if not self._admit(kind):
            self.suppressed[kind] += 1
            return
        line = {"ms": self.clock.wall_ms(), "process": self.process, "event": kind}
        line.update((k, v) for k, v in values.items() if v is not None)
        if self.suppressed[kind]:
            line["suppressed"] = self.suppressed.pop(kind)
        if len(self.queue) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        if self.dropped:
            line["dropped"], self.dropped = self.dropped, 0
        self.queue.append(msgspec.json.encode(line) + b"\n")
        if not self.scheduled:
            self.scheduled = True
            self.timers.after(FLUSH_S, self.flush)

    def _admit(self, kind):
        now = self.clock.now()
        tokens, at = self.buckets.get(kind, (BURST_LINES, now))
        tokens = min(tokens + (now - at) * LINES_PER_S, BURST_LINES)
        admitted = tokens >= 1
        self.buckets[kind] = (tokens - admitted, now)
        return admitted

    def flush(self):
        """Write what the descriptor takes without blocking."""
        self.scheduled = False
        while self.queue or self.partial:
            data = self.partial
            while self.queue and len(data) < WRITE_BYTES:
                data += self.queue.popleft()
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                written = 0
            self.partial = data[written:]
            if self.partial:
                self.scheduled = True
                self.timers.after(FLUSH_S, self.flush)
                return
