"""Tests of conditional edits of service documents."""

import asyncio
import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wasabipaddle.api.editor import MAX_HISTORY, DocumentEditor
from wasabipaddle.api.tests.fakes import FakeStore
from wasabipaddle.clock import run_virtual
from wasabipaddle.documents import Catalogue
from wasabipaddle.documents.tests.test_catalogue import text
from wasabipaddle.exceptions import ErrorKind, Outcome
from wasabipaddle.standins import MemoryStore


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def editor(store):
    numbers = itertools.count()
    return DocumentEditor(
        store=store, catalogue=Catalogue(), new_operation=lambda: f"op{next(numbers)}"
    )


def apply(editor, expected, slots=4, team="archive"):
    return editor.apply(
        "pages", text(slots=slots), expected_revision=expected, editor=team
    )


def test_edit_on_an_older_revision_is_refused(editor):
    """Guards against an edit that overwrites the edit of a concurrent operator."""

    async def main():
        first = (await apply(editor, 0)).unwrap()
        second = (await apply(editor, first, slots=5)).unwrap()
        refused = (await apply(editor, first, slots=6)).unwrap_err()
        assert refused.kind is ErrorKind.REVISION_MISMATCH
        view = (await editor.read("pages")).unwrap()
        assert (view.revision, view.text) == (second, text(slots=5))
        history = (await editor.history("pages")).unwrap()
        assert [v.revision for v in history] == [first, second]

    run_virtual(main())


@pytest.mark.parametrize(
    "faults", [["lost answer"], ["lost call"], ["lost call", "lost answer"]]
)
def test_lost_answer_is_resolved(editor, store, faults):
    """Guards against a failure for an edit that took effect or could be repeated."""

    async def main():
        store.faults = list(faults)
        revision = (await apply(editor, 0)).unwrap()
        assert (await editor.read("pages")).unwrap().revision == revision

    run_virtual(main())


def test_lost_answer_is_found_in_the_history(editor, store):
    """Guards against a mismatch for an edit that took effect and was then replaced."""

    async def main():
        first = (await apply(editor, 0)).unwrap()

        async def replace():
            await apply(editor, store.entries["documents/pages"].revision, slots=9)

        store.faults, store.after_put = ["lost answer"], replace
        revision = (await apply(editor, first, slots=5)).unwrap()
        views = {v.revision: v.text for v in (await editor.history("pages")).unwrap()}
        assert views[revision] == text(slots=5)
        assert (await editor.read("pages")).unwrap().text == text(slots=9)

    run_virtual(main())


def test_unconfirmed_edit_is_unknown(editor, store):
    """Guards against "not run" for an edit that may still take effect."""

    async def main():
        store.faults = ["lost call"] * 10
        failure = (await apply(editor, 0)).unwrap_err()
        assert failure.kind is ErrorKind.ACCEPTANCE_UNKNOWN
        assert failure.outcome is Outcome.UNKNOWN
        store.faults = ["down"]
        assert (await apply(editor, 0)).unwrap_err().outcome is Outcome.NOT_RUN

    run_virtual(main())


def test_deletion_keeps_a_revision_and_the_owner(editor):
    """Guards against reuse of a deleted revision, and deletion by another team."""

    async def main():
        first = (await apply(editor, 0)).unwrap()
        foreign = await editor.delete("pages", expected_revision=first, editor="other")
        assert foreign.unwrap_err().kind is ErrorKind.FORBIDDEN
        deleted = await editor.delete(
            "pages", expected_revision=first, editor="archive"
        )
        view = (await editor.read("pages")).unwrap()
        assert (view.revision, view.text) == (deleted.unwrap(), None)
        assert (await apply(editor, 0)).unwrap() > deleted.unwrap()

    run_virtual(main())


def test_history_is_bounded(editor):
    """Guards against a history of old revisions that grows without bound."""

    async def main():
        revision = 0
        for i in range(MAX_HISTORY + 5):
            revision = (await apply(editor, revision, slots=i + 1)).unwrap()
        views = (await editor.history("pages")).unwrap()
        assert len(views) == MAX_HISTORY + 1

    run_virtual(main())


async def edit_often(editor, slots, results):
    """Edit the current revision once per entry of `slots` and record each result."""
    for number in slots:
        view = (await editor.read("pages")).unwrap_or(None)
        expected = 0 if view is None else view.revision
        results[number] = await apply(editor, expected, slots=number)


@given(
    seed=st.integers(0, 2**16),
    lost_call=st.sampled_from([0.0, 0.2, 0.6]),
    lost_answer=st.sampled_from([0.0, 0.2, 0.6]),
)
def test_no_edit_is_lost_or_made_up(seed, lost_call, lost_answer):
    """Guards against results of concurrent edits that contradict the stored history."""

    async def main():
        store = MemoryStore(random=random.Random(seed))
        store.faults.lost_call, store.faults.lost_answer = lost_call, lost_answer
        results = {}
        editors = [
            DocumentEditor(store=store.client(name), catalogue=Catalogue())
            for name in ("a", "b")
        ]
        slots = (range(1, 6), range(11, 16))
        edits = [edit_often(e, s, results) for e, s in zip(editors, slots, strict=True)]
        await asyncio.gather(*edits)
        store.faults.lost_call = store.faults.lost_answer = 0.0
        views = (await editors[0].history("pages")).unwrap()
        revision_by_text = {v.text: v.revision for v in views}
        for number, result in results.items():
            revision = revision_by_text.get(text(slots=number))
            if result.is_ok():
                assert revision == result.unwrap()
            elif result.unwrap_err().outcome is Outcome.NOT_RUN:
                assert revision is None

    run_virtual(main())
