"""What is left of a leadership after its end, beside the next one of the process."""

import asyncio
from types import SimpleNamespace

import pytest
from result import Err

from wasabipaddle.cell.proof import LEADERSHIP_EVENTS
from wasabipaddle.cell.tests.runner_parts import PartitionedClient, play_cell
from wasabipaddle.exceptions import ErrorKind, Failure

# Time within which a process that was cut off from the leadership leads again.
ELECTION_S = 4.0
# Time within which all calls of an ended leadership are over.
CLOSED_S = 3.0


class LossyClient(PartitionedClient):
    """Client that takes the first cancellation of its inventories for a timeout.

    Attributes
    ----------
    calls : list of tuple of float and int
        Time and epoch of each inventory; shared by the clients of a test.
    """

    calls = None
    lossy = True

    async def inventory(self, *, epoch, timeout_s, **fields):
        self.calls.append((asyncio.get_running_loop().time(), epoch))
        try:
            return await super().inventory(epoch=epoch, timeout_s=timeout_s, **fields)
        except asyncio.CancelledError:
            if not self.lossy:
                raise
            self.lossy = False
            detail = "the cancellation coincides with the timeout"
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))


@pytest.fixture
def play(make_test_cell, monkeypatch):
    """Return a function that plays a scenario in a cell of two processes."""

    def run(scenario, client_type=PartitionedClient):
        play_cell(make_test_cell, monkeypatch, scenario, client_type=client_type)

    return run


async def lead_again(cell, process):
    """Have a process lose the leadership and win it again; return its first session."""
    session = process.dispatcher.session
    for other in cell.processes.values():
        other.election.draining = other is not process
    await process.election.resign("test")
    await asyncio.sleep(ELECTION_S)
    assert process.election.epoch > session.epoch
    return session


def test_calls_end_with_the_leadership_after_a_lost_cancellation(play):
    """Guards against loops that go on to call runners under an earlier epoch.

    The runners refuse the epoch, which ends each later leadership of the process.
    """
    client = type("Client", (LossyClient,), {"calls": []})

    async def scenario(cell, partition, leader):
        await asyncio.sleep(2.0)
        first = await lead_again(cell, leader)
        ended_s = asyncio.get_running_loop().time() - ELECTION_S
        await asyncio.sleep(10.0)
        late = [s for s, epoch in client.calls if epoch == first.epoch]
        assert max(late) <= ended_s + CLOSED_S
        assert not leader.dispatcher.closing

    play(scenario, client)


def test_ended_leadership_does_not_end_the_next_one(play):
    """Guards against a process that steps down whenever an earlier epoch is refused."""

    async def scenario(cell, partition, leader):
        await asyncio.sleep(2.0)
        first = await lead_again(cell, leader)
        epoch = leader.election.epoch
        first.step_down("r0 has seen a later epoch")
        assert leader.election.epoch == epoch

    play(scenario)


def test_ended_leadership_has_no_rights_of_the_next_one(play):
    """Guards against leases that an earlier session extends with a later proof."""

    async def scenario(cell, partition, leader):
        await asyncio.sleep(2.0)
        first = await lead_again(cell, leader)
        assert leader.dispatcher.session.may_grant()
        assert not first.may_grant()

    play(scenario)


@pytest.mark.parametrize("kind", sorted(LEADERSHIP_EVENTS))
def test_ended_leadership_logs_no_age_of_its_proof(play, monkeypatch, kind):
    """Guards against an infinite age that raises in the midst of a decision."""

    async def scenario(cell, partition, leader):
        lines = []
        session = leader.dispatcher.session
        monkeypatch.setattr(
            session, "context", SimpleNamespace(journal=lambda *a, **f: lines.append(f))
        )
        session.journal(kind)
        leader.election.draining = True
        await leader.election.resign("test")
        session.journal(kind)
        assert lines[0]["proof_age_ms"] >= 0
        assert lines[1]["proof_age_ms"] is None
        assert lines[1]["epoch"] == session.epoch

    play(scenario)
