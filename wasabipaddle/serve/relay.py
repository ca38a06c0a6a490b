"""Role `relay`: keeps the service documents of this process up to date."""

import asyncio

from result import Ok

from wasabipaddle.documents import decode_stored, parse_document
from wasabipaddle.documents.stored import DOCUMENT_PREFIX
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.kernel import Plugin
from wasabipaddle.membership import RevisionSeen
from wasabipaddle.messages import DocumentRevision, RevisionPage, RevisionQuery
from wasabipaddle.relay import DocumentApplied, RevisionTable
from wasabipaddle.serve.tasks import TaskSet
from wasabipaddle.timeline import EventKind

__all__ = ["RelayPlugin"]

ROLE_CHECK_S = 0.5
RETRY_S = 1.0
FETCH_TIMEOUT_S = 3.0
# A process that lags behind a peer of another region fetches documents from it only
# after this time. It spans several summaries, in which the relay of the own region can
# catch up.
REMOTE_FETCH_DELAY_S = 6.0
LIST_LIMIT = 100


class RelayPlugin(Plugin):
    """Watches the store while it is a relay, and fetches documents from peers.

    Publishes `DocumentApplied` and the `DocumentRevision` that it results from for
    each revision that is applied.

    Attributes
    ----------
    table : RevisionTable
        Applied documents and their revisions.
    loaded : asyncio.Event
        Set after the first listing of the store or the first page of a peer.
    """

    name = "relay"
    requires = ("membership", "store")
    parse = staticmethod(parse_document)

    def __init__(self, *, context):
        super().__init__(context=context)
        self.membership = context.plugins["membership"]
        self.transport = context.plugins["transport"].transport
        self.store = context.plugins["store"].gate.store_for("documents")
        self.table = RevisionTable(parse=self.parse)
        self.loaded = asyncio.Event()
        self.tasks = TaskSet()
        self.cursor = None
        self.fetching = False
        self.gap_started_at = None
        context.bus.events(RevisionSeen).subscribe(self._fetch_if_behind)
        self.transport.handle(RevisionQuery, self._answer_query)

    async def start(self):
        """Start to follow the store whenever this process is a relay."""
        self.tasks.spawn(self._follow())

    async def stop(self):
        """Stop following the store."""
        await self.tasks.close()

    def get(self, service):
        """Return the applied `ServiceDocument`, or None."""
        return self.table.get(service)

    def revision_of(self, service) -> int:
        """Return the revision of the applied document, 0 if there is none."""
        return self.table.revision_of(service)

    def documents(self) -> list:
        """Return all applied documents."""
        return self.table.documents()

    # Reading the store

    def watches_store(self) -> bool:
        """Return whether this process is a relay, which reads the store for others.

        In the region of the store, the delegate of each data centre is a relay. In any
        other region only one process is a relay, the delegate of the first data centre
        with an available process, so that each change crosses the link between regions
        once.
        """
        settings = self.context.settings
        if self.membership.delegate(settings.data_centre) != settings.process:
            return False
        if settings.region == settings.deployment.store_region:
            return True
        centres = (d.name for d in settings.deployment.data_centres)
        region = [c for c in centres if settings.region_of(c) == settings.region]
        delegates = (self.membership.delegate(c) for c in sorted(region))
        return next(d for d in delegates if d is not None) == settings.process

    async def _follow(self):
        while True:
            if not self.watches_store():
                await asyncio.sleep(ROLE_CHECK_S)
                continue
            if self.cursor is None:
                result = await self._read_all()
            else:
                result = await self._watch()
            if result.is_err():
                await self._pause_after(result.unwrap_err())

    async def _pause_after(self, failure):
        if failure.kind is ErrorKind.REVISION_MISMATCH:
            self.cursor = None
            return
        self.context.metrics.count("document_reads_failed")
        pause_s = RETRY_S * (0.5 + self.context.random.random())
        await asyncio.sleep(max(pause_s, failure.retry_after_s or 0.0))

    async def _read_all(self):
        services, after, revision = set(), "", None
        while after is not None:
            result = await self.store.list(
                DOCUMENT_PREFIX, after=after, limit=LIST_LIMIT
            )
            if result.is_err():
                return result
            page = result.unwrap()
            revision = page.revision if revision is None else revision
            for entry in page.entries:
                services.add(entry.key.removeprefix(DOCUMENT_PREFIX))
                self._apply_value(entry.key, entry.value, entry.revision)
            after = page.next_after
        for tombstone in self.table.missing_from(services, revision):
            self._apply(tombstone)
        self.cursor = revision
        self._complete_to(self.table.highest(revision))
        return result

    async def _watch(self):
        after = max(self.cursor, self.table.revision)
        wait_s = self.context.settings.store.watch_s
        result = await self.store.watch(
            DOCUMENT_PREFIX, after_revision=after, wait_s=wait_s
        )
        if result.is_ok() and result.unwrap():
            for change in result.unwrap():
                self._apply_value(change.key, change.value, change.revision)
            self.cursor = result.unwrap()[-1].revision
            self._complete_to(self.cursor)
        return result

    def _apply_value(self, key, value, revision):
        service = key.removeprefix(DOCUMENT_PREFIX)
        text = None
        if value is not None:
            stored = decode_stored(value)
            if stored.is_err():
                self.context.metrics.count("documents_invalid")
                return
            text = stored.unwrap().text
        self._apply(DocumentRevision(service=service, revision=revision, text=text))

    def _apply(self, source):
        applied = self.table.apply(source)
        if applied is not None:
            self._publish_applied(applied)
        elif source.service in self.table.invalid:
            self.context.metrics.count("documents_invalid")

    def _publish_applied(self, applied):
        source = applied.source
        self.context.events.record(
            EventKind.DOCUMENT_APPLIED,
            service=source.service,
            detail=f"revision {source.revision}",
        )
        self.context.bus.publish(source)
        self.context.bus.publish(
            DocumentApplied(
                service=source.service,
                revision=source.revision,
                document=applied.document,
            )
        )

    def _complete_to(self, revision):
        self.table.complete_to(revision)
        self.membership.table.local.revision = self.table.revision
        self.loaded.set()

    # Exchange with peers

    async def _answer_query(self, query):
        return Ok(self.table.page(query.above))

    def _fetch_if_behind(self, event):
        """Fetch documents from a peer that has a higher revision.

        A peer in another region is used only once `REMOTE_FETCH_DELAY_S` has passed
        since the first such event after the last fetch.
        """
        if self.fetching or event.revision <= self.table.revision:
            return
        if self._is_in_own_region(event.peer) or self._start_or_check_gap():
            self.fetching = True
            self.tasks.spawn(self._fetch(event.peer))

    def _is_in_own_region(self, peer):
        settings = self.context.settings
        member = self.membership.table.members[peer]
        return settings.region_of(member.data_centre) == settings.region

    def _start_or_check_gap(self):
        """Start timing the gap if needed; return whether the delay has passed."""
        now = self.context.clock.now()
        if self.gap_started_at is None:
            self.gap_started_at = now
        return now - self.gap_started_at >= REMOTE_FETCH_DELAY_S

    async def _fetch(self, peer):
        try:
            while True:
                query = RevisionQuery(
                    sender=self.context.settings.process, above=self.table.revision
                )
                result = await self.transport.call(
                    peer, query, RevisionPage, timeout_s=FETCH_TIMEOUT_S
                )
                if result.is_err():
                    self.context.metrics.count("revision_fetches_failed")
                    return
                page = result.unwrap()
                if page.revision <= query.above:
                    return
                for source in page.documents:
                    self._apply(source)
                self._complete_to(page.revision)
                self.gap_started_at = None
        finally:
            self.fetching = False
