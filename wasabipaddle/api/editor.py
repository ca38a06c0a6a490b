"""Conditional edits of service documents in the platform's store."""

import asyncio
import secrets

import attrs
from result import Err, Ok, Result

from wasabipaddle.documents import parse_document
from wasabipaddle.documents.stored import (
    StoredDocument,
    decode_stored,
    document_key,
    encode_stored,
    history_key,
    history_prefix,
)
from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = ["DocumentEditor", "DocumentView"]

MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.1
MAX_HISTORY = 50
HISTORY_PAGE_SIZE = 100


@attrs.frozen(kw_only=True)
class DocumentView:
    """One revision of a document as shown to operators.

    Parameters
    ----------
    text : str or None
        YAML text, None if this revision is a deletion.
    editor : str
        Team that made the edit, empty if the cell has no tokens.
    """

    service: str
    revision: int
    team: str
    editor: str
    text: str | None


class DocumentEditor:
    """Reads documents, and writes and deletes them by compare-and-swap.

    Parameters
    ----------
    store : Store
        Client of the platform's store.
    catalogue : Catalogue
        Applied documents, against which a new document is checked.
    new_operation : callable
        Function that returns a new operation id for each edit.
    """

    def __init__(self, *, store, catalogue, new_operation=lambda: secrets.token_hex(8)):
        self.store = store
        self.catalogue = catalogue
        self.new_operation = new_operation

    async def read(self, service) -> Result[DocumentView | None, Failure]:
        """Read the current revision; None if the store has no entry for the service."""
        found = await self.store.get(document_key(service))
        if found.is_err():
            return _not_run(found)
        entry = found.unwrap()
        return Ok(None) if entry is None else _view(service, entry)

    async def history(self, service) -> Result[tuple[DocumentView, ...], Failure]:
        """Return the stored earlier revisions and the current one, oldest first."""
        current = await self.read(service)
        if current.is_err():
            return current
        found = await self.store.list(history_prefix(service), limit=HISTORY_PAGE_SIZE)
        if found.is_err():
            return _not_run(found)
        views = []
        for entry in found.unwrap().entries:
            revision = int(entry.key.rpartition("/")[2])
            view = _view(service, attrs.evolve(entry, revision=revision))
            if view.is_err():
                return view
            views.append(view.unwrap())
        latest = current.unwrap()
        if latest is not None:
            views = [v for v in views if v.revision < latest.revision] + [latest]
        return Ok(tuple(views))

    async def apply(
        self, service, text, *, expected_revision, editor
    ) -> Result[int, Failure]:
        """Write a new revision if the current one is the one that the operator saw.

        Parameters
        ----------
        service : str
            Name of the service.
        text : str
            YAML text.
        expected_revision : int
            Revision that the operator saw, 0 if the service must not exist.
        editor : str or None
            Team of the operator; None may edit the documents of every team.

        Returns
        -------
        result.Result
            New revision, or an `Err` of kind `invalid_document`, `forbidden`,
            `revision_mismatch` or `acceptance_unknown`, or of a store error whose
            outcome is "not run".
        """
        parsed = parse_document(text, f"{service}.yaml")
        if parsed.is_err():
            return parsed
        document = parsed.unwrap()
        if document.service != service:
            detail = f"service: {document.service!r} is not {service!r}, as in the URL"
            return Err(Failure(kind=ErrorKind.INVALID_DOCUMENT, detail=detail))
        if editor not in (None, document.team):
            return _forbidden(editor, document.team)
        checked = self.catalogue.check(document)
        if checked.is_err():
            return checked
        return await self._edit(service, text, document.team, expected_revision, editor)

    async def delete(
        self, service, *, expected_revision, editor
    ) -> Result[int, Failure]:
        """Write a deletion under the conditions of `apply`.

        The result is as in `apply`, with `not_found` for a service without a document.
        """
        return await self._edit(service, None, None, expected_revision, editor)

    async def _edit(self, service, text, team, expected, editor):
        found = await self.store.get(document_key(service))
        if found.is_err():
            return _not_run(found)
        entry = found.unwrap()
        viewed = Ok(None) if entry is None else _view(service, entry)
        if viewed.is_err():
            return viewed
        current = viewed.unwrap()
        exists = current is not None and current.text is not None
        if exists and editor not in (None, current.team):
            return _forbidden(editor, current.team)
        if text is None and not exists:
            detail = f"there is no service {service}"
            return Err(Failure(kind=ErrorKind.NOT_FOUND, detail=detail))
        if expected != (current.revision if exists else 0):
            return _mismatch(service, current.revision if exists else 0)
        stored = StoredDocument(
            operation=self.new_operation(),
            editor=editor or "",
            team=team or current.team,
            text=text,
        )
        copied = await self._copy_to_history(service, entry)
        if copied.is_err():
            return copied
        base_revision = 0 if entry is None else entry.revision
        written = await self._write(service, stored, base_revision)
        if written.is_ok():
            await self._prune(service)
        return written

    async def _copy_to_history(self, service, entry):
        """Copy the current revision to the history before it is replaced.

        The copy may already exist, made by an earlier edit that failed afterwards.
        """
        if entry is None:
            return Ok(None)
        key = history_key(service, entry.revision)
        put = await self.store.put(key, entry.value, expected_revision=0)
        if put.is_ok() or put.unwrap_err().kind is ErrorKind.REVISION_MISMATCH:
            return Ok(None)
        existing = await self.store.get(key)
        if existing.is_ok() and existing.unwrap() is not None:
            return Ok(None)
        return _not_run(put)

    async def _write(self, service, stored, base_revision):
        key, value = document_key(service), encode_stored(stored)
        in_doubt = False
        for attempt in range(MAX_ATTEMPTS):
            put = await self.store.put(key, value, expected_revision=base_revision)
            if put.is_ok():
                return put
            kind = put.unwrap_err().kind
            in_doubt = in_doubt or kind is ErrorKind.TIMEOUT
            if not in_doubt:
                return put
            resolved = await self._resolve(service, stored.operation, base_revision)
            if resolved is not None:
                return resolved
            await asyncio.sleep(RETRY_PAUSE_S * 2**attempt)
        detail = f"the store did not confirm the edit of {service}"
        return Err(Failure(kind=ErrorKind.ACCEPTANCE_UNKNOWN, detail=detail))

    async def _resolve(self, service, operation, base_revision):
        """Return the result of an in-doubt edit, or None if it is still unknown.

        While the key is at `base_revision`, the write may still arrive at the store.
        Repeating it is safe because only one write can succeed on that revision.
        Every later edit first copies the revision that it replaces to the history, so
        an edit that is neither current nor in the history never took effect.
        """
        found = await self.store.get(document_key(service))
        entry = found.unwrap_or(None)
        if entry is None or entry.revision == base_revision:
            return None
        if _operation(entry) == operation:
            return Ok(entry.revision)
        history = await self.store.list(
            history_prefix(service), limit=HISTORY_PAGE_SIZE
        )
        if history.is_err():
            return None
        for old in history.unwrap().entries:
            if _operation(old) == operation:
                return Ok(int(old.key.rpartition("/")[2]))
        return _mismatch(service, entry.revision)

    async def _prune(self, service):
        """Delete the oldest revisions of the history above `MAX_HISTORY`.

        Failed deletions are left to the next edit.
        """
        found = await self.store.list(history_prefix(service), limit=HISTORY_PAGE_SIZE)
        if found.is_ok():
            entries = found.unwrap().entries
            for entry in entries[: max(len(entries) - MAX_HISTORY, 0)]:
                await self.store.delete(entry.key, expected_revision=entry.revision)


def _view(service, entry):
    stored = decode_stored(entry.value)
    if stored.is_err():
        return stored
    value = stored.unwrap()
    return Ok(
        DocumentView(
            service=service,
            revision=entry.revision,
            team=value.team,
            editor=value.editor,
            text=value.text,
        )
    )


def _operation(entry):
    stored = decode_stored(entry.value)
    return stored.unwrap().operation if stored.is_ok() else None


def _mismatch(service, revision):
    detail = f"{service} is at revision {revision}"
    return Err(Failure(kind=ErrorKind.REVISION_MISMATCH, detail=detail))


def _forbidden(editor, team):
    detail = f"team {editor} may not edit a document of team {team}"
    return Err(Failure(kind=ErrorKind.FORBIDDEN, detail=detail))


def _not_run(result):
    """Return a failure with the outcome "not run", as the document is unchanged.

    A `timeout`, whose outcome would be "unknown", becomes `store_unavailable`.
    """
    failure = result.unwrap_err()
    if failure.kind is ErrorKind.TIMEOUT:
        failure = attrs.evolve(failure, kind=ErrorKind.STORE_UNAVAILABLE)
    return Err(failure)
