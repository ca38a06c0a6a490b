"""Documents and simulated operators for the measures `configuration` and `store`."""

import asyncio
import random

import attrs

from wasabipaddle.api.editor import DocumentEditor
from wasabipaddle.documents import (
    Catalogue,
    StoredDocument,
    document_key,
    encode_stored,
    parse_document,
)
from wasabipaddle.exceptions import ErrorKind

__all__ = [
    "SERVICES",
    "Edit",
    "Operator",
    "document_text",
    "document_value",
    "number_of",
    "service_name",
]

SERVICES = 8
EDIT_PERIOD_S = 4.0

DOCUMENT_TEMPLATE = """\
service: {service}
team: team
kind: batch
needs: {{cpu: 1, memory: 1GB}}
quota: {{resources: {{cpu: 8, memory: 8GB}}}}
share: {{weight: {number}}}
"""


def document_text(service, number) -> str:
    """Return a valid document whose share weight encodes `number`."""
    return DOCUMENT_TEMPLATE.format(service=service, number=number + 1)


def document_value(service, number):
    """Return the store key and value of a document that encodes `number`."""
    stored = StoredDocument(
        operation=f"{service}/{number}",
        editor="team",
        team="team",
        text=document_text(service, number),
    )
    return document_key(service), encode_stored(stored)


def number_of(document) -> int:
    """Return the number that a document encodes."""
    return document.share.weight - 1


def service_name(number) -> str:
    """Return the name of one of the edited services."""
    return f"s{number}"


@attrs.define(kw_only=True)
class Edit:
    """An accepted edit.

    Parameters
    ----------
    due_from : float
        Time at which the edit was sent, from which its delay is counted.
    waiting : set of str
        Processes that have not applied the edit yet.
    """

    service: str
    revision: int
    due_from: float
    waiting: set


class Operator:
    """Edits documents; each edit adds one to the number that it read.

    Parameters
    ----------
    cell : CountedCell
        Cell whose documents are edited.
    number, seed : int
        Number and seed of the operator.
    """

    def __init__(self, *, cell, number, seed):
        self.cell = cell
        self.name = f"operator{number}"
        self.random = random.Random(f"{seed}/{number}")
        self.editor = DocumentEditor(
            store=cell.store.client(self.name),
            catalogue=Catalogue(),
            new_operation=lambda: f"{self.name}/{self.random.getrandbits(48):x}",
        )
        self.accepted = self.refused = self.unknown = 0

    async def run(self, length_s):
        """Edit documents for `length_s` seconds."""
        loop = asyncio.get_running_loop()
        until = loop.time() + length_s
        while loop.time() < until:
            await self._edit(service_name(self.random.randrange(SERVICES)))
            await asyncio.sleep(EDIT_PERIOD_S * self.random.uniform(0.2, 1.8))

    async def _edit(self, service):
        loop = asyncio.get_running_loop()
        read = await self.editor.read(service)
        if read.is_err():
            self.refused += 1
            return
        view = read.unwrap()
        number = 0 if view is None else number_of(_parse_text(view.text)) + 1
        await asyncio.sleep(self.random.uniform(0.0, 1.0))  # lets edits conflict
        sent = loop.time()
        answer = await self.editor.apply(
            service,
            document_text(service, number),
            expected_revision=0 if view is None else view.revision,
            editor="team",
        )
        if answer.is_ok():
            self.accepted += 1
            edit = Edit(
                service=service,
                revision=answer.unwrap(),
                due_from=sent,
                waiting=set(self.cell.data_centre_of),
            )
            self.cell.observer.edits.append(edit)
        elif answer.unwrap_err().kind is ErrorKind.ACCEPTANCE_UNKNOWN:
            self.unknown += 1
        else:
            self.refused += 1


def _parse_text(text):
    return parse_document(text, "measure").unwrap()
