"""Membership: which processes count as live, and for how long."""

import asyncio

from result import Ok

from wasabipaddle.cell.roster import (
    LIVENESS_TIMEOUT_S,
    MAX_HELLO_AGE_S,
    RETENTION_S,
)
from wasabipaddle.messages.jobs import MemberHello, Noted

# Time for a few hello messages of each process.
SETTLE_S = 1.5
# Time after which no process may count a silent one as live. A process learns of the
# others from the leader, whose list may be as old as its last hello message from each.
VIEW_S = LIVENESS_TIMEOUT_S + 2.0


def test_removed_process_stops_being_live(run_members):
    """Guards against a removed process that counts as live for ever.

    The leader also sends hello messages to itself, and its own reply lists all live
    members: it must not take that list as a sign of life.
    """

    async def scenario(cell):
        await asyncio.sleep(SETTLE_S)
        before = cell.members["p0"].live_peers(), cell.members["p1"].live_peers()
        await cell.stop("p2")
        await asyncio.sleep(LIVENESS_TIMEOUT_S + 0.1)
        at_leader = cell.members["p0"].live_peers()
        await asyncio.sleep(VIEW_S - LIVENESS_TIMEOUT_S)
        return before, at_leader, cell.members["p1"].live_peers()

    before, at_leader, at_follower = run_members(scenario)
    assert before == (["p1", "p2"], ["p0", "p2"])
    assert at_leader == ["p1"]
    assert at_follower == ["p0"]


def test_process_that_was_cut_off_is_live_again(run_members):
    """Guards against a process that stays out of the cell after a partition."""

    async def scenario(cell):
        await asyncio.sleep(SETTLE_S)
        cell.isolate("p2")
        await asyncio.sleep(VIEW_S)
        during = cell.members["p0"].live_peers()
        cell.network.heal()
        await asyncio.sleep(SETTLE_S)
        views = [cell.members[name].live_peers() for name in ("p0", "p1", "p2")]
        return during, views

    during, views = run_members(scenario)
    assert during == ["p1"]
    assert views == [["p1", "p2"], ["p0", "p2"], ["p0", "p1"]]


def test_new_leader_does_not_revive_the_removed_members_of_its_predecessor(run_members):
    """Guards against a takeover that makes removed processes live again.

    The new leader starts with the list of its predecessor, which is gone as well.
    """

    async def scenario(cell):
        await asyncio.sleep(SETTLE_S)
        await cell.stop("p3")
        await cell.stop("p0")
        await cell.elect("p1")
        await asyncio.sleep(VIEW_S)
        return cell.members["p1"].live_peers(), cell.members["p2"].live_peers()

    at_leader, at_follower = run_members(scenario, count=4)
    assert at_leader == ["p2"]
    assert at_follower == ["p1"]


def test_draining_process_is_not_live_until_it_starts_again(run_members):
    """Guards against work that is handed to a process about to stop."""

    async def scenario(cell):
        await asyncio.sleep(SETTLE_S)
        cell.members["p2"].drain()
        await asyncio.sleep(0.1)
        during = cell.members["p0"].live_peers()
        await asyncio.sleep(SETTLE_S)
        later = cell.members["p0"].live_peers()
        await cell.stop("p2")
        cell.network.heal()
        cell.add("p2")
        await cell.start("p2")
        await asyncio.sleep(SETTLE_S)
        return during, later, cell.members["p0"].live_peers()

    during, later, after = run_members(scenario)
    assert during == later == ["p1"]
    assert after == ["p1", "p2"]


def test_former_leader_that_drains_is_not_live_at_its_successor(run_members):
    """Guards against requests to a leader that hands over because it shuts down."""

    async def scenario(cell):
        await asyncio.sleep(SETTLE_S)
        cell.members["p0"].drain()
        await cell.elect("p1")
        await asyncio.sleep(0.1)
        return cell.members["p1"].live_peers()

    assert run_members(scenario) == ["p2"]


def test_leader_does_not_list_a_process_that_may_be_gone(run_members):
    """Guards against a follower that learns of a silent process as if it were live.

    It would count it as live for up to twice the time, and longer if it then leads.
    """

    async def scenario(cell):
        await asyncio.sleep(SETTLE_S)
        await cell.stop("p2")
        await asyncio.sleep(MAX_HELLO_AGE_S)
        hello = MemberHello(process="p1", address="127.0.0.1:3")
        return (await cell["p0"]._handle_hello(hello)).ok().members

    assert sorted(run_members(scenario)) == ["p0", "p1"]


def test_what_is_known_of_replaced_processes_is_bounded(run_members):
    """Guards against addresses of removed processes that are kept for ever."""

    async def scenario(cell):
        for i in range(3, 9):
            await asyncio.sleep(SETTLE_S)
            await cell.stop(f"p{i - 1}")
            cell.add(f"p{i}")
            await cell.start(f"p{i}")
        await asyncio.sleep(RETENTION_S + VIEW_S)
        return [
            sorted(known)
            for name in ("p0", "p1", "p8")
            for known in (cell[name].roster.addresses, cell[name].roster.last_heard_s)
        ], [
            sorted(known)
            for known in (
                cell["p0"].transport.peers,
                cell["p0"].roster.latencies,
                cell["p0"].roster.incarnations,
                cell["p0"].roster.processing_power,
            )
        ]

    everywhere, at_leader = run_members(scenario)
    assert everywhere == [["p0", "p1", "p8"]] * 6
    assert at_leader == [["p0", "p1", "p8"]] * 4


def test_long_partition_makes_no_process_forget_the_others(run_members):
    """Guards against a process that has forgotten all others after a long partition.

    A process that is cut off hears nobody and must keep all addresses. The others
    forget it, and learn its address again from its hello message.
    """

    async def scenario(cell):
        await asyncio.sleep(SETTLE_S)
        cell.isolate("p2")
        await asyncio.sleep(2 * RETENTION_S)
        during = [sorted(cell[name].roster.addresses) for name in ("p0", "p2")]
        cell.network.heal()
        await asyncio.sleep(SETTLE_S)
        return during, cell.members["p0"].live_peers()

    during, after = run_members(scenario)
    assert during == [["p0", "p1"], ["p0", "p1", "p2"]]
    assert after == ["p1", "p2"]


def test_peers_are_asked_in_order_of_their_latest_sign_of_life(run_members):
    """Guards against time spent on removed processes while live ones can help."""

    async def scenario(cell):
        await asyncio.sleep(SETTLE_S)
        await cell.stop("p3")
        await asyncio.sleep(5.0)
        cell.members["p2"].drain()
        await asyncio.sleep(VIEW_S)
        return [cell[name].roster.peers(leader="p0") for name in ("p0", "p1")]

    at_leader, at_follower = run_members(scenario, count=5)
    assert sorted(at_leader[:2]) == ["p1", "p4"] and at_leader[2:] == ["p2", "p3"]
    assert at_follower == ["p0", "p4", "p2", "p3"]


def test_new_leader_is_announced_to_live_processes_first(run_members):
    """Guards against announcements that wait for connections to removed processes.

    The transport limits the number of connections, and each attempt to reach a removed
    process takes the time limit of the announcement.
    """

    async def scenario(cell):
        await asyncio.sleep(SETTLE_S)
        for name in ("p1", "p2"):
            await cell.stop(name)
        await asyncio.sleep(VIEW_S)
        asked = []

        async def ask(process, message, reply_type, *, timeout_s):
            asked.append(process)
            return Ok(Noted())

        cell["p0"].ask = ask
        cell["p0"]._announce_leadership(type("Event", (), {"epoch": 7})())
        await asyncio.sleep(0.01)
        return asked

    asked = run_members(scenario, count=5)
    assert sorted(asked[:2]) == ["p3", "p4"]
    assert sorted(asked[2:]) == ["p1", "p2"]


def test_process_without_the_store_finds_the_successor_of_a_removed_leader(run_members):
    """Guards against a process that sends hello messages to a removed leader for ever.

    It was cut off when the successor was announced, and does not reach the store.
    """

    async def scenario(cell):
        await asyncio.sleep(SETTLE_S)
        cell.isolate("p2")
        await cell.stop("p0")
        await cell.elect("p1", without_store=("p2",))
        await asyncio.sleep(VIEW_S)
        during = cell["p2"].leader
        for other in ("p1", "p3"):
            cell.connect("p2", other)
        await asyncio.sleep(10.0)
        return during, cell["p2"].leader, cell.members["p1"].live_peers()

    during, after, at_leader = run_members(scenario, count=4)
    assert during == "p0"
    assert after == "p1"
    assert at_leader == ["p2", "p3"]


def test_only_the_leader_lists_members(run_members):
    """Guards against processes that keep removed ones live in each other's view.

    Processes ask each other who leads while the leader does not reply.
    """

    async def scenario(cell):
        await asyncio.sleep(SETTLE_S)
        hello = MemberHello(process="p2", address="127.0.0.1:3")
        return [
            (await cell[name]._handle_hello(hello)).ok().members
            for name in ("p0", "p1")
        ]

    at_leader, at_follower = run_members(scenario)
    assert sorted(at_leader) == ["p0", "p1", "p2"]
    assert at_follower == {}
