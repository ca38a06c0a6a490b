"""Table of service documents, ordered by store revision."""

import attrs
from sortedcontainers import SortedDict

from wasabipaddle.documents import document_key
from wasabipaddle.messages import DocumentRevision, RevisionPage

__all__ = ["AppliedRevision", "RevisionTable"]

# Total length of document texts above which no further revision is added to a page.
MAX_PAGE_CHARACTERS = 262_144


@attrs.frozen(kw_only=True)
class AppliedRevision:
    """A document revision and its parsed document, which is None for a tombstone."""

    source: DocumentRevision
    document: object


class RevisionTable:
    """Latest revision of every document, deletions included.

    Parameters
    ----------
    parse : callable
        Function from YAML text and source name to a `result.Result` that holds the
        `ServiceDocument`.

    Attributes
    ----------
    revision : int
        Revision up to which the table is complete. A page never brings a peer above
        it, so that the peer still asks for the revisions that are missing here.
    """

    def __init__(self, *, parse):
        self.parse = parse
        self.applied = {}
        self.by_revision = SortedDict()
        self.revision = 0
        self.invalid = {}

    def apply(self, source) -> AppliedRevision | None:
        """Apply one document revision if it is higher than the known revision.

        Returns
        -------
        AppliedRevision or None
            The applied revision, or None if it is not newer or its text does not
            parse. A text that does not parse leaves the current document unchanged;
            its failure is kept in `invalid`, and the revision is included in pages
            for peers.
        """
        current = self.applied.get(source.service)
        known_revision = max(
            current.source.revision if current else 0,
            self.invalid.get(source.service, (0,))[0],
        )
        if source.revision <= known_revision:
            return None
        document = None
        if source.text is not None:
            parsed = self.parse(source.text, document_key(source.service))
            if parsed.is_err():
                failure = parsed.unwrap_err()
                self._index(source, known_revision)
                self.invalid[source.service] = (source.revision, failure)
                return None
            document = parsed.unwrap()
        self._index(source, known_revision)
        self.invalid.pop(source.service, None)
        applied = AppliedRevision(source=source, document=document)
        self.applied[source.service] = applied
        return applied

    def complete_to(self, revision):
        """Declare that every revision up to `revision` has been passed to `apply`."""
        self.revision = max(self.revision, revision)

    def highest(self, limit) -> int:
        """Return the highest known revision up to `limit`, 0 if there is none."""
        below = self.by_revision.irange(maximum=(limit, "\uffff"), reverse=True)
        return next((revision for revision, _ in below), 0)

    def get(self, service):
        """Return the current document of a service, or None if there is none."""
        applied = self.applied.get(service)
        return None if applied is None else applied.document

    def source(self, service) -> DocumentRevision | None:
        """Return the current revision with its YAML text, or None if there is none."""
        applied = self.applied.get(service)
        return None if applied is None else applied.source

    def revision_of(self, service) -> int:
        """Return the current revision number of a service, 0 if there is none."""
        applied = self.applied.get(service)
        return 0 if applied is None else applied.source.revision

    def documents(self) -> list:
        """Return all current documents, in order of service name."""
        names = sorted(self.applied)
        documents = (self.applied[n].document for n in names)
        return [d for d in documents if d is not None]

    def missing_from(self, services, revision) -> list[DocumentRevision]:
        """Return tombstones for documents that a listing does not contain.

        Parameters
        ----------
        services : container of str
            Names of the services in the listing.
        revision : int
            Store revision of the listing.
        """
        return [
            DocumentRevision(service=s, revision=revision, text=None)
            for s, a in self.applied.items()
            if a.document is not None
            and s not in services
            and a.source.revision < revision
        ]

    def page(self, above) -> RevisionPage:
        """Return the revisions above `above`, in order and bounded in size.

        Entries with the same revision are never split between two pages, because the
        next page starts above the last revision of this one.
        """
        documents, size, complete = [], 0, self.revision
        for key in self.by_revision.irange((above, "\uffff"), inclusive=(False, False)):
            source = self.by_revision[key]
            if source.revision > self.revision:
                break
            size += len(source.text or "")
            last = documents[-1].revision if documents else source.revision
            if size > MAX_PAGE_CHARACTERS and source.revision > last:
                complete = last
                break
            documents.append(source)
        return RevisionPage(revision=max(complete, above), documents=tuple(documents))

    def apply_page(self, page) -> list[AppliedRevision]:
        """Apply the page that a peer returned for all revisions above `revision`."""
        changes = [a for a in map(self.apply, page.documents) if a is not None]
        self.complete_to(page.revision)
        return changes

    def _index(self, source, known_revision):
        self.by_revision.pop((known_revision, source.service), None)
        self.by_revision[(source.revision, source.service)] = source
