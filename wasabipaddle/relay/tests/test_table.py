"""Tests of the revision table."""

import pytest
from result import Err, Ok

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.messages import DocumentRevision
from wasabipaddle.relay import RevisionTable


def parse(text, source):
    if text == "broken":
        return Err(Failure(kind=ErrorKind.INVALID_DOCUMENT))
    return Ok(text)


def revision(service, number, text):
    return DocumentRevision(service=service, revision=number, text=text)


@pytest.fixture
def table():
    return RevisionTable(parse=parse)


def test_lower_revision_never_replaces_a_higher_one(table):
    """Guards against reverting a document, or its deletion, to an older revision."""
    table.apply(revision("a", 5, "new"))
    assert table.apply(revision("a", 4, "old")) is None
    table.apply(revision("a", 6, None))
    assert table.apply(revision("a", 5, "new")) is None
    assert table.get("a") is None


def test_invalid_text_keeps_the_current_document(table):
    """Guards against losing a service to a document that does not parse."""
    table.apply(revision("a", 1, "good"))
    table.apply(revision("a", 2, "broken"))
    assert table.get("a") == "good"
    assert table.apply(revision("a", 3, "better")).document == "better"


def test_pages_bring_a_peer_up_to_date_without_gaps(table):
    """Guards against a peer that misses a document at the boundary of two pages."""
    for number in range(1, 8):
        table.apply(revision(f"s{number}", number, "x" * 100_000))
    table.apply(revision("s1", 8, None))
    table.complete_to(8)
    peer = RevisionTable(parse=parse)
    while peer.revision < table.revision:
        peer.apply_page(table.page(peer.revision))
    assert peer.documents() == table.documents()


def test_page_claims_no_more_than_the_table_is_complete_to(table):
    """Guards against a peer that takes an incomplete table for a complete one."""
    table.apply(revision("a", 1, "x"))
    table.complete_to(1)
    table.apply(revision("b", 9, "x"))
    page = table.page(0)
    assert page.revision == 1
    assert [d.service for d in page.documents] == ["a"]
