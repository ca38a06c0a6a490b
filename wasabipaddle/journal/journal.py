"""Journal of one shard, written by the leader of the shard."""

import asyncio
import collections

from result import Err, Ok

from wasabipaddle.clock import cancel_and_wait
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.journal.attempts import AppendAttempt, QueuedRecord
from wasabipaddle.journal.codec import encode_batch, encode_record
from wasabipaddle.journal.compaction import Compactor
from wasabipaddle.journal.live import LiveState
from wasabipaddle.journal.log import JournalKeys, create_once, was_created_by
from wasabipaddle.journal.pacing import Backoff, Pacer
from wasabipaddle.journal.records import LeaderStarted, RunAccepted
from wasabipaddle.journal.recovery import Recovery

__all__ = ["Journal"]

# New runs are accepted up to this share of the queue; the rest is for other records.
ACCEPT_QUEUE_SHARE = 0.5
# New runs are rejected if a throttled store asks for at least this delay.
MAX_THROTTLE_DELAY_S = 1.0
COMPACTION_RETRY_S = 10.0


class Journal:
    """Durable journal of a shard, with a single writer.

    Parameters
    ----------
    shard : str
        Name of the shard.
    process : str
        Name of this process.
    incarnation : int
        Incarnation of this process.
    store : Store
        The platform's store.
    clock : Clock
        Source of time.
    settings : JournalSettings
        Limits of batches and queue, write rate and compaction.
    random : random.Random
        Source of jitter.
    on_deposed : callable or None
        Called once with a `Failure` when a record of a later leader is found.

    Attributes
    ----------
    live : LiveState
        State after all confirmed records.
    deposed : bool
        Whether a later leader has written; the journal accepts no more records.
    available : bool
        Whether the last append or probe of the store succeeded, or the append was
        throttled for less than `MAX_THROTTLE_DELAY_S`.
    """

    def __init__(
        self,
        *,
        shard,
        process,
        incarnation,
        store,
        clock,
        settings,
        random,
        on_deposed=None,
    ):
        self.process = process
        self.incarnation = incarnation
        self.store = store
        self.clock = clock
        self.settings = settings
        self.keys = JournalKeys(shard=shard)
        self.pacer = Pacer(
            clock=clock,
            min_interval_s=settings.min_interval_s,
            writes_per_s=settings.writes_per_s,
        )
        self.backoff = Backoff(random=random)
        self.compactor = Compactor(journal=self)
        self.live = LiveState()
        self.epoch = 0
        self.next_sequence = 0
        self.operation_count = 0
        self.appends_since_compaction = 0
        self.on_deposed = on_deposed
        self.deposed = False
        self.available = True
        self.attempt = None
        self.queue = collections.deque()
        self.queue_nonempty = asyncio.Event()
        self.tasks = []

    # Recovery

    async def recover(self, epoch):
        """Read the live state, fence earlier leaders and start writing.

        Waits while the store is unavailable.

        Returns
        -------
        result.Result
            The `LiveState`, or an `Err` of kind `stale_epoch` if a later leader has
            written to the journal.
        """
        self.epoch = epoch
        recovery = None
        while True:
            if recovery is None:
                recovery = Recovery(store=self.store, keys=self.keys)
                result = await recovery.read()
            else:
                result = await recovery.read_tail()
            if result.is_err():
                await self._pause_after(result.unwrap_err())
                recovery = None
                continue
            recovered = result.unwrap()
            if recovered.epoch > epoch:
                return self._depose(f"a leader of epoch {recovered.epoch} has written")
            if not await self._append_start(recovered):
                continue
            later = await recovery.has_batches_after(recovered.next_sequence - 1)
            if later.is_err() or later.unwrap():
                # An earlier leader had written and compacted a batch under the sequence
                # number of the start, which therefore does not fence that leader.
                recovery = None
                continue
            self.backoff.reset()
            return Ok(self._start_writing(recovered))

    async def _append_start(self, recovered):
        record = LeaderStarted(
            epoch=self.epoch,
            leader=self.process,
            incarnation=self.incarnation,
            at_ms=self.clock.wall_ms(),
        )
        attempt = self._new_attempt([encode_record(record)], [])
        sequence = recovered.next_sequence
        while True:
            result = await self._try_commit(sequence, attempt)
            if result.is_ok():
                recovered.live.apply(record)
                recovered.leader_start_times_ms[sequence] = record.at_ms
                recovered.stored_sequences.append(sequence)
                recovered.next_sequence = sequence + 1
                return True
            if result.unwrap_err().kind is ErrorKind.STALE_EPOCH:
                return False
            await self._pause_after(result.unwrap_err())

    def _start_writing(self, recovered):
        self.live = recovered.live
        self.next_sequence = recovered.next_sequence
        self.appends_since_compaction = len(recovered.stored_sequences)
        self.compactor.restore(recovered)
        self.tasks = [
            asyncio.create_task(self._write()),
            asyncio.create_task(self._compact()),
            asyncio.create_task(self._probe_store()),
            asyncio.create_task(self.compactor.run()),
        ]
        return self.live

    # Appending

    async def append(self, record):
        """Commit one record.

        Returns
        -------
        result.Result
            Sequence number of the batch that holds the record. An `Err` means that
            the record was not committed, except for `acceptance_unknown`, where it
            may have been.
        """
        return await self.submit(record)

    def submit(self, record) -> asyncio.Future:
        """Queue a record; the future resolves to the result described at `append`."""
        done = asyncio.get_running_loop().create_future()
        rejection = self._rejection(record)
        if rejection is not None:
            done.set_result(Err(rejection))
            return done
        data = encode_record(record)
        if len(data) > self.settings.max_batch_bytes:
            detail = f"journal record of {len(data)} bytes exceeds max_batch_bytes"
            done.set_result(Err(Failure(kind=ErrorKind.BODY_TOO_LARGE, detail=detail)))
            return done
        self.queue.append(QueuedRecord(record=record, data=data, done=done))
        self.queue_nonempty.set()
        return done

    def _rejection(self, record):
        if self.deposed:
            return Failure(kind=ErrorKind.STALE_EPOCH, detail="a later leader exists")
        if not self.tasks:
            return Failure(kind=ErrorKind.NOT_LEADER, detail="journal is not recovered")
        limit = self.settings.max_queue
        if isinstance(record, RunAccepted):
            if not self.available:
                return _unavailable()
            limit *= ACCEPT_QUEUE_SHARE
        if len(self.queue) >= limit:
            return Failure(kind=ErrorKind.QUEUE_FULL, detail="journal queue is full")
        return None

    async def _write(self):
        while not self.deposed:
            await self.queue_nonempty.wait()
            await asyncio.sleep(self.pacer.wait_s())
            items = self._dequeue_batch()
            if items:
                await self._commit(items)

    def _dequeue_batch(self):
        items, size = [], 0
        while self.queue:
            size += len(self.queue[0].data) + 1
            if items and size > self.settings.max_batch_bytes:
                break
            items.append(self.queue.popleft())
        if not self.queue:
            self.queue_nonempty.clear()
        return items

    def _new_attempt(self, encoded, items):
        self.operation_count += 1
        operation = (
            f"{self.process}.{self.incarnation}.{self.epoch}.{self.operation_count}"
        )
        value = encode_batch(operation, self.epoch, encoded)
        return AppendAttempt(items=items, operation=operation, value=value)

    async def _commit(self, items):
        attempt = self._new_attempt([i.data for i in items], items)
        self.attempt = attempt
        while True:
            result = await self._try_commit(self.next_sequence, attempt)
            if result.is_ok():
                self._confirm(attempt)
                return
            failure = result.unwrap_err()
            if failure.kind is ErrorKind.STALE_EPOCH:
                self._fail(attempt.items, failure)
                self._depose(failure.detail)
                return
            self._update_availability(failure)
            if not attempt.in_doubt:
                # The key was not created: requeue, so that the batch can grow.
                self.queue.extendleft(reversed(attempt.items))
                self.attempt = None
                self._reject_queued_runs(failure)
                await self._pause_after(failure)
                self.queue_nonempty.set()
                return
            self._reject_queued_runs(failure)
            await self._pause_after(failure)

    async def _try_commit(self, sequence, attempt):
        key = self.keys.batch(sequence)
        if attempt.in_doubt:
            found = await was_created_by(self.store, key, attempt.operation)
            if found.is_err():
                return found
            if found.unwrap():
                return Ok(None)
        self.pacer.record_append()
        result = await create_once(self.store, key, attempt.value, attempt.operation)
        if result.is_err() and result.unwrap_err().kind is ErrorKind.TIMEOUT:
            attempt.in_doubt = True
        return result

    def _confirm(self, attempt):
        sequence = self.next_sequence
        self.next_sequence += 1
        self.appends_since_compaction += 1
        self.available = True
        self.attempt = None
        self.backoff.reset()
        self.compactor.add_batch(sequence)
        for item in attempt.items:
            self.live.apply(item.record)
            _resolve(item, Ok(sequence))

    # Failures

    def _update_availability(self, failure):
        short_delay = (failure.retry_after_s or 0.0) < MAX_THROTTLE_DELAY_S
        throttled = failure.kind is ErrorKind.STORE_THROTTLED
        self.available = throttled and short_delay

    def _reject_queued_runs(self, failure):
        """Reject queued runs if the store is unavailable; none of them was written."""
        if self.available:
            return
        remaining = collections.deque()
        for item in self.queue:
            if isinstance(item.record, RunAccepted):
                _resolve(item, Err(_unavailable(failure)))
            else:
                remaining.append(item)
        self.queue = remaining

    def _fail(self, items, failure):
        for item in items:
            _resolve(item, Err(failure))

    def _depose(self, detail):
        failure = Failure(kind=ErrorKind.STALE_EPOCH, detail=detail)
        self.deposed = True
        self._fail(self.queue, failure)
        self.queue.clear()
        self.attempt = None
        # The first task is the writer, which calls this method.
        for task in self.tasks[1:]:
            task.cancel()
        if self.on_deposed is not None:
            self.on_deposed(failure)
        return Err(failure)

    async def _probe_store(self):
        """Detect the end of an outage of the store while no record is written."""
        while True:
            await asyncio.sleep(self.backoff.MAX_PAUSE_S)
            if self.available or self.queue or self.attempt is not None:
                continue
            result = await self.store.get(self.keys.batch(self.next_sequence))
            if result.is_ok():
                self.available = True

    async def _pause_after(self, failure):
        await asyncio.sleep(self.backoff.next_pause_s(failure))

    # Compaction and shutdown

    async def _compact(self):
        while True:
            await asyncio.sleep(self.pacer.min_interval_s)
            if self.appends_since_compaction < self.settings.compact_after:
                continue
            self.appends_since_compaction = 0
            result = await self.compactor.compact()
            if result.is_err():
                self.appends_since_compaction = self.settings.compact_after
                await asyncio.sleep(COMPACTION_RETRY_S)

    async def flush(self):
        """Wait until all records are written or the leader is deposed."""
        while (self.queue or self.attempt is not None) and not self.deposed:
            await asyncio.sleep(self.pacer.min_interval_s)

    async def close(self):
        """Stop writing; the append in flight fails with `acceptance_unknown`."""
        tasks, self.tasks = self.tasks, []
        await cancel_and_wait(tasks)
        if self.attempt is not None:
            unknown = Failure(kind=ErrorKind.ACCEPTANCE_UNKNOWN, detail="closed")
            self._fail(self.attempt.items, unknown)
        self._fail(self.queue, Failure(kind=ErrorKind.DRAINING, detail="closed"))
        self.queue.clear()


def _resolve(item, result):
    if not item.done.done():
        item.done.set_result(result)


def _unavailable(failure=None):
    return Failure(
        kind=ErrorKind.STORE_UNAVAILABLE,
        detail="the store does not take new runs now",
        retry_after_s=None if failure is None else failure.retry_after_s,
    )
