"""Tests of the records of idempotency keys."""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from wasabipaddle.messages import ClaimKey, ReleaseKey
from wasabipaddle.routing.key_records import (
    COLD_START_S,
    RETENTION_S,
    KeyRecords,
    majority_of,
)

NAMES = ("a", "b", "c", "d")
KEYS = ("k0", "k1", "k2")


def claim(records, key, sender="a", request="r", now=0.0):
    message = ClaimKey(sender=sender, key=key, request=request)
    return records.claim(message, now)


def test_a_process_without_records_is_not_certain():
    """Guards against a `certain` reply of a restarted process without its records.

    The key may have been claimed before the restart.
    """
    records = KeyRecords(process="a", names=NAMES, now=0.0)
    assert not claim(records, "k").certain
    assert claim(records, "other", now=RETENTION_S).certain


def test_a_full_process_refuses_new_claims_and_evicts_no_record():
    """Guards against a second run under a key whose record was evicted."""
    records = KeyRecords(process="a", names=["a"], now=0.0, max_records=1)
    assert claim(records, "k0").certain
    assert not claim(records, "k1").certain
    assert claim(records, "k0", request="later").request == "r"


class KeyMachine(RuleBasedStateMachine):
    """Claims with lost messages, restarts without records, and releases of claims.

    The test counts how often a request with each key runs. At most two processes are
    unsettled at the same time.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.attempts = 0
        self.runs = {}
        self.members = {n: self.start(n) for n in NAMES}
        self.copy_all()
        self.now += COLD_START_S
        self.copy_all()

    def start(self, name):
        return KeyRecords(process=name, names=NAMES, now=self.now)

    def copy_all(self):
        for target in NAMES:
            for source in NAMES:
                self.copy(target, source)

    @rule(to=st.sampled_from(NAMES), source=st.sampled_from(NAMES))
    def copy(self, to, source):
        """Copy a page of records of one process to another."""
        if to == source:
            return
        page = self.members[source].page(to, "", self.now)
        self.members[to].merge(page.records, self.now)
        self.members[to].finish_copy(source, settled=page.settled, now=self.now)

    @rule(
        sender=st.sampled_from(NAMES),
        key=st.sampled_from(KEYS),
        reached=st.sets(st.sampled_from(NAMES)),
        answered=st.sets(st.sampled_from(NAMES)),
        not_run=st.booleans(),
    )
    def attempt(self, sender, key, reached, answered, not_run):
        """Claim a key while messages and replies may be lost.

        The request runs if a majority confirms the claim and `not_run` is false; else
        the claim is released at the processes that were reached.
        """
        self.attempts += 1
        request = f"r{self.attempts}"
        group = self.members[sender].group(key)
        granted = 0
        for name in group:
            if name not in reached:
                continue
            reply = claim(self.members[name], key, sender, request, self.now)
            own = (reply.owner, reply.request) == (sender, request)
            granted += own and reply.certain and name in answered
        if granted >= majority_of(group) and not not_run:
            self.runs[key] = self.runs.get(key, 0) + 1
            return
        message = ReleaseKey(sender=sender, key=key, request=request)
        for name in reached:
            self.members[name].release(message)

    @precondition(lambda self: len(self.unsettled()) < 2)
    @rule(name=st.sampled_from(NAMES), pause_s=st.sampled_from((0.0, 1.0, 40.0)))
    def replace(self, name, pause_s):
        """Restart a process without its records."""
        self.members[name] = self.start(name)
        self.now += pause_s

    def unsettled(self):
        return [n for n, m in self.members.items() if not m.is_settled(self.now)]

    @invariant()
    def every_key_runs_at_most_once(self):
        """Check that no two requests with a key ran before its record could expire."""
        if self.now < RETENTION_S:
            assert all(count <= 1 for count in self.runs.values())


TestKeyMachine = KeyMachine.TestCase
