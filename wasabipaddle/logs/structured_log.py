"""Structured log of events, one JSON line each, written without blocking."""

import collections
import os

import msgspec

__all__ = ["StructuredLog"]

MAX_QUEUED_LINES = 4_000
MAX_WRITE_BYTES = 65_536  # no further line is added to a write of this size
FLUSH_DELAY_S = 0.02
# Capacity and refill rate of the token bucket of each kind of event.
BURST_LINES = 400
LINES_PER_S = 150.0


class StructuredLog:
    """Writes events as JSON lines to a descriptor.

    Lines beyond the token bucket of their kind are suppressed; their number is
    reported with the next line of that kind, and lost if that line is dropped. Lines
    are queued, so that a slow reader of the descriptor does not block the process.
    Lines beyond the capacity of the queue are dropped; their number is reported with
    the next line that is queued.

    Parameters
    ----------
    process : str
        Name of the process.
    clock : Clock
        Source of time.
    timers : TimerService
        Timers that run the writes.
    descriptor : int
        Open file descriptor to write to; it is made non-blocking.
    """

    def __init__(self, *, process, clock, timers, descriptor=1):
        self.process = process
        self.clock = clock
        self.timers = timers
        self.descriptor = descriptor
        self.queue = collections.deque()
        self.unwritten = b""
        self.buckets = {}
        self.suppressed = collections.Counter()
        self.dropped = 0
        self.scheduled = False
        os.set_blocking(descriptor, False)

    def __call__(self, kind, **values):
        """Queue one line for an event of a kind; values that are None are omitted."""
        if not self._take_token(kind):
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
            self.timers.after(FLUSH_DELAY_S, self.flush)

    def _take_token(self, kind):
        now = self.clock.now()
        tokens, updated_at = self.buckets.get(kind, (BURST_LINES, now))
        tokens = min(tokens + (now - updated_at) * LINES_PER_S, BURST_LINES)
        admitted = tokens >= 1
        self.buckets[kind] = (tokens - admitted, now)
        return admitted

    def flush(self):
        """Write as many queued lines as the descriptor accepts without blocking."""
        self.scheduled = False
        while self.queue or self.unwritten:
            data = self.unwritten
            while self.queue and len(data) < MAX_WRITE_BYTES:
                data += self.queue.popleft()
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                written = 0
            self.unwritten = data[written:]
            if self.unwritten:
                self.scheduled = True
                self.timers.after(FLUSH_DELAY_S, self.flush)
                return
