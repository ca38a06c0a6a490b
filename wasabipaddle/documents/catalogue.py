"""Catalogue of the service documents that one process has applied."""

import difflib

import attrs
from result import Err, Ok, Result

from wasabipaddle.documents.loader import parse_document
from wasabipaddle.documents.model import ServiceDocument
from wasabipaddle.documents.stored import decode_stored
from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = ["AppliedDocument", "Catalogue", "diff_texts"]

# Guaranteed shares are decimal fractions, whose sum has rounding errors.
SHARE_TOLERANCE = 1e-9


@attrs.frozen(kw_only=True)
class AppliedDocument:
    """Latest applied revision of the document of one service.

    Parameters
    ----------
    text : str or None
        YAML text, None if the document was deleted.
    document : ServiceDocument or None
        Parsed text, None if the document was deleted.
    """

    service: str
    revision: int
    text: str | None
    document: ServiceDocument | None


class Catalogue:
    """Current service documents of the cell, as one process knows them.

    A revision is applied only if it is above the applied one of the same service, so
    that a late message never reverts a document.

    Parameters
    ----------
    quotas : sequence of TeamQuota
        Quotas of the teams of the deployment; if there are none, documents are not
        checked against quotas.

    Attributes
    ----------
    applied : dict of str to AppliedDocument
        Latest revision by service; deleted documents remain as entries.
    revision : int
        Highest applied revision.
    """

    def __init__(self, *, quotas=()):
        self.quotas = {q.team: q.quota for q in quotas}
        self.applied = {}
        self.revision = 0

    def apply(self, service, revision, text) -> Result[bool, Failure]:
        """Apply one revision of a document.

        Parameters
        ----------
        service : str
            Name of the service.
        revision : int
            Store revision.
        text : str or None
            YAML text; None if the document was deleted.

        Returns
        -------
        result.Result
            Whether the revision was newer and has been applied, or an `Err` of kind
            `invalid_document`, in which case the earlier revision remains current.
        """
        current = self.applied.get(service)
        if current is not None and revision <= current.revision:
            return Ok(False)
        document = None
        if text is not None:
            parsed = parse_document(text, f"{service}@{revision}")
            if parsed.is_err():
                return parsed
            document = parsed.unwrap()
            if document.service != service:
                detail = (
                    f"the document of {service} declares the service {document.service}"
                )
                return Err(Failure(kind=ErrorKind.INVALID_DOCUMENT, detail=detail))
        self.applied[service] = AppliedDocument(
            service=service, revision=revision, text=text, document=document
        )
        self.revision = max(self.revision, revision)
        return Ok(True)

    def apply_value(self, service, revision, value) -> Result[bool, Failure]:
        """Apply a value of the store; None stands for a deletion."""
        if value is None:
            return self.apply(service, revision, None)
        stored = decode_stored(value)
        if stored.is_err():
            return stored
        return self.apply(service, revision, stored.unwrap().text)

    def get(self, service) -> ServiceDocument | None:
        """Return the current document; None for an unknown or deleted service."""
        applied = self.applied.get(service)
        return None if applied is None else applied.document

    def documents(self) -> list[ServiceDocument]:
        """Return all current documents, in the order of their services."""
        found = (self.applied[service].document for service in sorted(self.applied))
        return [document for document in found if document is not None]

    def check(self, document) -> Result[None, Failure]:
        """Check a document against the quotas and the other current documents."""
        problems = [*self._team_problems(document), *self._share_problems(document)]
        if problems:
            detail = f"{document.service}: " + "; ".join(problems)
            return Err(Failure(kind=ErrorKind.INVALID_DOCUMENT, detail=detail))
        return Ok(None)

    def _team_problems(self, document):
        if not self.quotas:
            return
        limit = self.quotas.get(document.team)
        if limit is None:
            yield f"team: {document.team} has no quota (allowed: {_join(self.quotas)})"
            return
        for field in attrs.fields(type(document.quota.resources)):
            asked = getattr(document.quota.resources, field.name)
            allowed = getattr(limit.resources, field.name)
            if asked > allowed:
                yield _over_quota(
                    f"resources.{field.name}", asked, document.team, allowed
                )
        if document.quota.slots > limit.slots:
            yield _over_quota("slots", document.quota.slots, document.team, limit.slots)

    def _share_problems(self, document):
        pool = document.placement.pool
        others = [
            d
            for d in self.documents()
            if d.placement.pool == pool and d.service != document.service
        ]
        shares = [document.share.guaranteed, *(d.share.guaranteed for d in others)]
        if sum(shares) > 1 + SHARE_TOLERANCE:
            remaining = max(1 - sum(shares[1:]), 0)
            holder = f"pool {pool}" if pool else "workers"
            yield (
                f"share.guaranteed: the guaranteed shares of the {holder} add up to "
                f"{sum(shares):g} (allowed: at most {remaining:g} here)"
            )


def diff_texts(old, new, *, old_name, new_name) -> str:
    """Return a unified diff of two document texts; None counts as empty."""
    lines = difflib.unified_diff(
        (old or "").splitlines(),
        (new or "").splitlines(),
        fromfile=old_name,
        tofile=new_name,
        lineterm="",
    )
    return "\n".join(lines)


def _over_quota(key, asked, team, allowed):
    return f"quota.{key}: {asked} is above the quota of team {team} ({allowed})"


def _join(names):
    return ", ".join(sorted(names))
