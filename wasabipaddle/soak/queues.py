"""Queues of the cell in a soak test."""

from wasabipaddle.jobs import AdvicePolicy, Queue

__all__ = ["POOL", "QUEUES", "SIZED_QUEUES"]

POOL = "pool"
ADVICE = AdvicePolicy(base_s=0.05, per_runner_s=0.002, valid_s=2.5)
# Each further runner in a request costs so much that few are named.
SLOW_ADVICE = AdvicePolicy(base_s=0.5, per_runner_s=0.01, valid_s=2.5)
RESIDENT = Queue(
    name="resident", host="l.example", prefix="/resident/", pool=POOL, priority=1,
    max_attempts=3,
)  # fmt: skip
ADVISED = Queue(
    name="advised", host="l.example", prefix="/advised/", pool=POOL, priority=1,
    max_attempts=3, advice=SLOW_ADVICE,
)  # fmt: skip
QUEUES = (
    Queue(
        name="urgent", host="u.example", prefix="/urgent/", pool=POOL, max_attempts=2
    ),
    Queue(
        name="lasting", host="u.example", prefix="/lasting/", pool=POOL, priority=1,
        max_attempts=3,
    ),
    Queue(
        name="batch", host="b.example", prefix="/batch/", pool=POOL, priority=2,
        max_attempts=4, advice=ADVICE,
    ),
    RESIDENT,
    ADVISED,
)  # fmt: skip
# Queues of lasting tasks so large that they may have to wait for room. Other lasting
# tasks are so small that others make way for them.
SIZED_QUEUES = frozenset({RESIDENT.name, ADVISED.name})
