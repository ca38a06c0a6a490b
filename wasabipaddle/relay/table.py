"""Documents by service, ordered by store revision."""

import attrs
from sortedcontainers import SortedDict

from wasabipaddle.documents import document_key
from wasabipaddle.messages import DocumentRevision, RevisionPage

__all__ = ["Applied", "RevisionTable"]

MAX_PAGE_BYTES = 262_144


@attrs.frozen(kw_only=True)
class Applied:
    """A document revision and its parsed document, None for a tombstone."""

    source: DocumentRevision
    document: object


class RevisionTable:
    """Latest revision of every document, deletions included.

    Parameters
    ----------
    parse : callable
        Function from YAML text and source name to a result with a `ServiceDocument`.

    Attributes
    ----------
    revision : int
        Revision up to which the table is complete. A page to a peer never claims
        more, so that a gap is never hidden from it.
    """

    def __init__(self, *, parse):
        self.parse = parse
        self.applied = {}
        self.by_revision = SortedDict()
        self.revision = 0
        self.invalid = {}

    def apply(self, source) -> Applied | None:
        """Apply one document revision unless it is not higher than the known one.

        Returns
        -------
        Applied or None
            The entry if it is now in force. A text that does not parse replaces
            nothing; it is passed on to peers and kept in `invalid`.
        """
        known = self.applied.get(source.service)
        held = max(
            known.source.revision if known else 0,
            self.invalid.get(source.service, (0,))[0],
        )
        if source.revision <= held:
            return None
        document = None
        if source.text is not None:
            parsed = self.parse(source.text, document_key(source.service))
            if parsed.is_err():
                failure = parsed.unwrap_err()
                self._index(source, held)
                self.invalid[source.service] = (source.revision, failure)
                return None
            document = parsed.unwrap()
        self._index(source, held)
        self.invalid.pop(source.service, None)
        applied = Applied(source=source, document=document)
        self.applied[source.service] = applied
        return applied

    def complete_to(self, revision):
        """Declare that every document up to `revision` has been offered."""
        self.revision = max(self.revision, revision)

    def highest(self, limit) -> int:
        """Return the highest document revision that is not above `limit`."""
        below = self.by_revision.irange(maximum=(limit, "\uffff"), reverse=True)
        return next((revision for revision, _ in below), 0)

    def get(self, service):
        """Return the document in force, or None."""
        applied = self.applied.get(service)
        return None if applied is None else applied.document

    def text(self, service) -> DocumentRevision | None:
        """Return the revision in force with its text, None if there is none."""
        applied = self.applied.get(service)
        return None if applied is None else applied.source

    def revision_of(self, service) -> int:
        """Return the revision of the document in force, 0 if there is none."""
        applied = self.applied.get(service)
        return 0 if applied is None else applied.source.revision

    def documents(self) -> list:
        """Return all documents in force, in order of service name."""
        names = sorted(self.applied)
        documents = (self.applied[n].document for n in names)
        return [d for d in documents if d is not None]

    def missing_from(self, services, revision) -> list[DocumentRevision]:
        """Return tombstones for documents that a listing at `revision` lacks."""
        return [
            DocumentRevision(service=s, revision=revision, text=None)
            for s, a in self.applied.items()
            if a.document is not None
            and s not in services
            and a.source.revision < revision
        ]

    def page(self, above) -> RevisionPage:
        """Return the documents above a revision, in order and bounded in size."""
        documents, size, complete = [], 0, self.revision
        for key in self.by_revision.irange((above, "\uffff"), inclusive=(False, False)):
            source = self.by_revision[key]
            if source.revision > self.revision:
                break
            size += len(source.text or "")
            last = documents[-1].revision if documents else source.revision
            if size > MAX_PAGE_BYTES and source.revision > last:
                complete = last
                break
            documents.append(source)
        return RevisionPage(revision=max(complete, above), documents=tuple(documents))

    def take_page(self, page) -> list[Applied]:
        """Apply a page from a peer that was asked for everything above `revision`."""
        changes = [a for a in map(self.apply, page.documents) if a is not None]
        self.complete_to(page.revision)
        return changes

    def _index(self, source, held):
        self.by_revision.pop((held, source.service), None)
        self.by_revision[(source.revision, source.service)] = source
