"""Tests of the catalogue of applied documents."""

from hypothesis import given
from hypothesis import strategies as st

from wasabipaddle.documents import (
    Catalogue,
    Quota,
    Resources,
    TeamQuota,
    diff_texts,
    parse_document,
)

TEXT = """\
service: {service}
team: archive
kind: request
placement: {{pool: {pool}}}
share: {{guaranteed: {share}}}
quota: {{slots: {slots}}}
"""


def text(service="pages", pool="p", share=0.5, slots=4):
    return TEXT.format(service=service, pool=pool, share=share, slots=slots)


@given(st.lists(st.tuples(st.integers(1, 9), st.booleans())))
def test_catalogue_never_reverts(changes):
    """Guards against an old revision that replaces a newer one or a deletion."""
    catalogue = Catalogue()
    latest = (0, False)
    for revision, live in changes:
        catalogue.apply("pages", revision, text() if live else None).unwrap()
        if revision > latest[0]:
            latest = (revision, live)
        assert (catalogue.get("pages") is not None) is latest[1]
        assert catalogue.revision == latest[0]


def test_invalid_revision_does_not_replace_the_earlier_one():
    """Guards against an invalid document that replaces a valid one."""
    catalogue = Catalogue()
    catalogue.apply("pages", 1, text()).unwrap()
    assert catalogue.apply("pages", 2, "service: {").is_err()
    assert catalogue.apply("pages", 2, text("other")).is_err()
    assert catalogue.applied["pages"].revision == 1


def test_shares_of_a_pool_stay_at_most_one():
    """Guards against guaranteed shares of a pool that add up to more than 1."""
    catalogue = Catalogue()
    catalogue.apply("a", 1, text("a", share=0.7)).unwrap()
    assert catalogue.check(parse_document(text("b", share=0.3), "b").unwrap()).is_ok()
    refused = catalogue.check(parse_document(text("b", share=0.4), "b").unwrap())
    assert "at most 0.3 here" in refused.unwrap_err().detail
    other = parse_document(text("b", pool="q", share=0.4), "b").unwrap()
    assert catalogue.check(other).is_ok()


def test_quota_of_a_service_stays_within_its_team():
    """Guards against a service whose quota is above that of its team."""
    quota = TeamQuota(team="archive", quota=Quota(resources=Resources(), slots=3))
    catalogue = Catalogue(quotas=(quota,))
    refused = catalogue.check(parse_document(text(slots=4), "t").unwrap())
    assert "quota.slots: 4 is above the quota of team archive (3)" in (
        refused.unwrap_err().detail
    )
    assert catalogue.check(parse_document(text(slots=3), "t").unwrap()).is_ok()


def test_diff_shows_changed_lines():
    """Guards against a diff that does not show an edit to the operator."""
    diff = diff_texts("a: 1\nb: 2\n", "a: 1\nb: 3\n", old_name="x@1", new_name="x@2")
    assert diff.splitlines()[:2] == ["--- x@1", "+++ x@2"]
    assert "-b: 2" in diff and "+b: 3" in diff
