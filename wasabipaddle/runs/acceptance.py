"""Acceptance of runs: a run is accepted once the journal has confirmed it."""

from result import Err, Ok

from wasabipaddle.documents import ServiceKind
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.runs.model import Run, Task
from wasabipaddle.runs.records import accepted_record, work_of
from wasabipaddle.timeline import EventKind

__all__ = ["Acceptance"]


class Acceptance:
    """Accepts runs of one shard.

    Parameters
    ----------
    shard, epoch
        Name of the shard and epoch of its leader.
    table : RunTable
        Runs of the shard.
    placer : Placer
        Receives accepted runs.
    commits : JournalCommits
        Appends to the journal.
    documents : object
        Has `get(service)` and `revision_of(service)`.
    quota_of : callable
        Function from a service to its quota in this shard, or None.
    context : Context
        Shared services of the process.
    make_id : callable
        Returns the random part of a new run id.
    """

    def __init__(
        self,
        *,
        shard,
        epoch,
        table,
        placer,
        commits,
        documents,
        quota_of,
        context,
        make_id,
    ):
        self.shard = shard
        self.epoch = epoch
        self.table = table
        self.placer = placer
        self.commits = commits
        self.documents = documents
        self.quota_of = quota_of
        self.clock = context.clock
        self.events = context.events
        self.metrics = context.metrics
        self.make_id = make_id
        self.pending = {}

    def submit(self, message, envelope):
        """Accept a run, or return the one accepted earlier for the same key."""
        known = self.table.find(message.service, message.key)
        if known is not None:
            envelope.answer(_duplicate_result(known, message))
            return
        envelopes = self.pending.get((message.service, message.key))
        if envelopes is not None:
            envelopes.append(envelope)
            return
        document = self.documents.get(message.service)
        refusal = self._refusal(message, document)
        if refusal is not None:
            self.metrics.count(f"runs_refused_{refusal.kind.value}")
            envelope.answer(Err(refusal))
            return
        self._commit(message, document, envelope)

    def abandon(self):
        """Answer unconfirmed submissions; the journal may or may not contain them."""
        detail = "the shard leader changed before the run was confirmed"
        unknown = Err(Failure(kind=ErrorKind.ACCEPTANCE_UNKNOWN, detail=detail))
        for envelopes in self.pending.values():
            for envelope in envelopes:
                envelope.answer(unknown)
        self.pending.clear()

    def _refusal(self, message, document):
        if document is None:
            detail = f"no service {message.service}"
            return Failure(kind=ErrorKind.NOT_FOUND, detail=detail)
        if document.kind is ServiceKind.REQUEST:
            detail = f"service {message.service} is of kind request and accepts no runs"
            return Failure(kind=ErrorKind.INVALID_REQUEST, detail=detail)
        reason = self._impossible_reason(document)
        if reason is not None:
            return Failure(kind=ErrorKind.IMPOSSIBLE, detail=reason)
        return None

    def _impossible_reason(self, document):
        if not self.placer.fleet.workers:
            return None
        probe = Run(
            run="",
            document=document,
            key="",
            payload="",
            accepted_ms=0,
            epoch=self.epoch,
            tasks=[Task(index=i) for i in range(document.run.tasks)],
        )
        work = work_of(probe, quota=self.quota_of(document.service))
        return self.placer.impossible.reason(work, work.needs)

    def _commit(self, message, document, envelope):
        key = (message.service, message.key)
        self.pending[key] = [envelope]
        record = accepted_record(
            run=f"{self.shard}.{self.make_id()}",
            document=document,
            key=message.key,
            payload=message.payload,
            accepted_ms=self.clock.wall_ms(),
            revision=self.documents.revision_of(message.service),
        )
        submitted_at = self.clock.now()

        def on_result(result):
            self.metrics.observe("accept", self.clock.now() - submitted_at)
            envelopes = self.pending.pop(key, ())
            answer = result
            if result.is_ok():
                answer = Ok(self._accept(record, document).view())
            for pending_envelope in envelopes:
                pending_envelope.answer(answer)

        self.commits.append(record, on_result)

    def _accept(self, record, document):
        entry = self.table.accept(
            run=record.run,
            document=document,
            key=record.key,
            payload=record.payload,
            accepted_ms=record.accepted_ms,
            epoch=self.epoch,
        )
        self.metrics.count("runs_accepted")
        self.events.record(
            EventKind.RUN_ACCEPTED, run=entry.run, service=document.service
        )
        work = work_of(entry, quota=self.quota_of(document.service))
        self.placer.submit(work, self.clock.now())
        return entry


def _duplicate_result(entry, message):
    if entry.payload != message.payload:
        detail = f"key {message.key} was already used with another payload"
        return Err(Failure(kind=ErrorKind.CONFLICT, detail=detail))
    return Ok(entry.view())
