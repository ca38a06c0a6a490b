"""Memory that the requests of one connection need."""

import collections

__all__ = ["ContentCost"]

# Memory for each line of a head, and for each line that frames a chunk, in bytes.
HEADER_BYTES = 350
CHUNK_LINE_BYTES = 64
# A head and a body are held twice for a moment: as received and as read. What a body
# is decoded into takes several times its size.
COPIES = 2
DECODED_COPIES = 8
# Memory for each object that a body is decoded into, in bytes.
OBJECT_BYTES = 1_000


class ContentCost:
    """Memory for the head that arrives and for the requests that have not ended.

    Attributes
    ----------
    head : int
        Memory for the head that is being received, in bytes.
    waiting : collections.deque of int
        Memory for each request whose head is complete, in their order.
    framing : int
        Memory for the lines that frame the chunks of the last body.
    decoded : int
        Memory for what the body of the request in progress is decoded into.
    """

    def __init__(self):
        self.head = 0
        self.waiting = collections.deque()
        self.last_head = 0
        self.waiting_sum = 0
        self.framing = 0
        self.decoded = 0

    @property
    def total(self) -> int:
        """All memory, in bytes."""
        return self.head + self.waiting_sum + self.decoded

    def add_head(self, piece):
        """Count received bytes of a head."""
        self.head += COPIES * len(piece) + HEADER_BYTES * piece.count(b"\n")

    def begin_request(self):
        """Count a request whose head is complete."""
        self.waiting.append(self.head)
        self.waiting_sum += self.head
        self.last_head, self.head = self.head, 0
        self.framing = 0

    def add_chunk_lines(self, count):
        """Count lines that frame chunks of the last request."""
        self.framing += CHUNK_LINE_BYTES * count

    def set_body(self, size):
        """Set the size of the body of the last request, as far as it is known."""
        if self.waiting:
            cost = self.last_head + COPIES * size + self.framing
            self.waiting_sum += cost - self.waiting[-1]
            self.waiting[-1] = cost

    def decode(self, data):
        """Count what a body is about to be decoded into."""
        self.decoded = DECODED_COPIES * len(data) + OBJECT_BYTES * data.count(b"{")

    def end_request(self):
        """Drop the first request that has not ended."""
        self.decoded = 0
        if self.waiting:
            self.waiting_sum -= self.waiting.popleft()
