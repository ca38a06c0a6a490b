"""Tests of the election of one shard against a store with injected faults."""

import asyncio

import pytest
from result import Err

from wasabipaddle.clock import LoopClock, run_virtual
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.leadership import MembershipView, ShardElection
from wasabipaddle.settings import LeadershipSettings
from wasabipaddle.standins import MemoryStore


class SilentMembers(MembershipView):
    """Membership view that ranks this process first; all members are silent."""

    def rank(self, shard):
        return 0

    def silence_s(self, name, incarnation):
        return 60.0

    def has_stopped(self, name, incarnation, shard, epoch):
        return False


def make_election(store, process):
    return ShardElection(
        shard="dc0-0",
        process=process,
        incarnation=1,
        store=store.client(process),
        clock=LoopClock(),
        settings=LeadershipSettings(),
        membership_view=SilentMembers(),
    )


def test_two_candidates_with_the_same_view_elect_one_leader():
    """Guards against two leaders after both candidates try to acquire a new shard."""

    async def main():
        store = MemoryStore()
        elections = [make_election(store, name) for name in "ab"]
        await asyncio.gather(*(e.step() for e in elections))
        assert sum(e.leading for e in elections) == 1

    run_virtual(main())


def test_acquisition_with_lost_answer_is_confirmed_by_reading():
    """Guards against a shard whose leader does not know that it leads.

    The store writes the leader record, but its answer is lost.
    """

    async def main():
        store = MemoryStore()
        election = make_election(store, "a")
        await election.store.get("warm-up")
        store.faults.lost_answer = 1.0
        store.faults.hang = False
        election.observed_revision = 0
        await election._acquire()
        assert not election.leading
        store.faults.lost_answer = 0.0
        await election.step()
        assert (election.leading, election.epoch) == (True, 1)

    run_virtual(main())


def test_higher_epoch_ends_the_leadership_at_once():
    """Guards against a deposed leader that sends commands until its next renewal."""

    async def main():
        election = make_election(MemoryStore(), "a")
        await election.step()
        assert election.may_command()
        election.note_epoch(2)
        assert not election.leading
        assert not election.may_command()

    run_virtual(main())


def test_no_commands_after_a_pause_until_the_store_answers():
    """Guards against commands after a pause while the leader record is unreadable."""

    async def main():
        store = MemoryStore()
        election = make_election(store, "a")
        await election.step()
        await asyncio.sleep(10.0)
        store.faults.down = True
        await election.step()
        assert election.leading
        assert not election.may_command()
        store.faults.down = False
        await election.step()
        assert election.may_command()

    run_virtual(main())


class LiveMembers(SilentMembers):
    """Membership view that reports every process as live, this process included."""

    def silence_s(self, name, incarnation):
        """Report that the process was heard from just now."""
        return 0.0


def test_delayed_renewal_does_not_depose_its_own_leader():
    """Guards against a leader deposed by a delayed renewal of its own.

    The delayed renewal changes the revision of the leader record, so that the next
    renewal fails.
    """

    async def main():
        store = MemoryStore()
        election = make_election(store, "a")
        await election.step()
        # A renewal whose call timed out is applied late and changes the revision.
        entry = (await store.get(election.key)).unwrap()
        await store.put(election.key, entry.value, expected_revision=entry.revision)
        election.next_renewal = 0.0
        await election.step()
        assert (election.leading, election.epoch) == (True, 1)
        assert election.may_command()

    run_virtual(main())


def test_shard_of_a_process_that_stepped_down_gets_a_leader_again():
    """Guards against a shard that stays without a leader while all members are live.

    The record names a live process that has stepped down.
    """

    async def main():
        store = MemoryStore()
        election = make_election(store, "a")
        await election.step()
        election.membership_view = LiveMembers()
        election.note_epoch(2)
        assert not election.leading
        await asyncio.sleep(2.0)
        await election.step()
        assert election.leading
        assert election.epoch > 2

    run_virtual(main())


class StandbyMembers(LiveMembers):
    """Membership view that ranks this process second; `silent` names a silent one."""

    silent = ""

    def rank(self, shard):
        return 1

    def silence_s(self, name, incarnation):
        return 60.0 if name == self.silent else 0.0


@pytest.mark.parametrize("delay_s", [0.0, 3.0])
def test_standby_confirms_its_acquisition_although_the_former_leader_is_back(delay_s):
    """Guards against a shard without a leader while all members are live.

    The store names the standby, which does not know it, as the answer was lost. It
    hears from the former leader, which knows of the standby and does not campaign. The
    write takes effect at once, or after a delay.
    """

    async def main():
        store = MemoryStore()
        first, second = (make_election(store, name) for name in "ab")
        second.membership_view = StandbyMembers()
        await first.step()
        second.membership_view.silent = "a"
        await second.step()
        await asyncio.sleep(10.0)
        second._observe((await store.get(second.key)).unwrap())
        put = second.store.put

        async def put_late(*args, **options):
            asyncio.get_running_loop().call_later(
                delay_s, lambda: asyncio.ensure_future(put(*args, **options))
            )
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail="lost"))

        second.store.put = put_late
        await second._acquire()
        second.store.put = put
        second.membership_view.silent = ""
        for _ in range(12):
            await asyncio.sleep(0.5)
            await second.step()
        assert (second.leading, second.epoch) == (True, 2)

    run_virtual(main())
