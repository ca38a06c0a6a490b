"""Tests of idempotency keys across several processes in virtual time."""

import asyncio

import pytest

from wasabipaddle.api.idempotency import AnswerCache, CachedAnswer
from wasabipaddle.clock import run_virtual
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.measure.whole_cell import CellSize, WholeCell
from wasabipaddle.routing.key_records import majority_of

SIZE = CellSize(entries=6, data_centres=3, workers=1, endpoints=1)
SETTLE_S = 40.0
KEY = "key"
BODY = "00"


class Callers:
    """Sends requests with a key to processes of a cell and records where they ran."""

    def __init__(self, cell):
        self.cell = cell
        self.runs = []

    def keys(self, name):
        """Return the role `keys` of a process, with an answer cache."""
        plugin = self.cell.processes[name].context.plugins["keys"]
        if plugin.answer_cache is None:
            plugin.answer_cache = AnswerCache(clock=plugin.context.clock)
        return plugin

    async def call(self, name, *, key=KEY):
        """Send one request and return the result of its claim.

        A request whose claim is granted runs and its answer is cached.
        """
        return await self.cell.processes[name].run(self._run(name, key))

    async def _run(self, name, key):
        keys = self.keys(name)
        request = f"{name}.{len(self.runs)}"
        keys.answer_cache.begin(key, bytes.fromhex(BODY)).unwrap()
        result = await keys.claim(key, request, BODY)
        if result.is_err() or result.unwrap() is not None:
            keys.answer_cache.abandon(key)
            return result
        self.runs.append(name)
        keys.answer_cache.end(
            key, CachedAnswer(request=request, body=b"whole", digest="d")
        )
        return result

    @property
    def group(self):
        """Processes that record the claims of `KEY`."""
        return self.keys(next(iter(self.cell.processes))).records.group(KEY)

    def others(self):
        """Return the processes outside the group of `KEY`."""
        return [n for n in self.cell.processes if n not in self.group]


def run(scenario):
    async def main():
        cell = WholeCell(size=SIZE)
        await cell.start()
        await asyncio.sleep(SETTLE_S)
        await scenario(cell, Callers(cell))

    run_virtual(main())


async def replace(cell, name):
    await cell.kill(name)
    await cell.start_process(name)


def test_a_repeat_at_another_process_gets_the_first_answer():
    """Guards against a second run if the balancer sends a repeat to another process."""

    async def scenario(cell, callers):
        first, second = callers.others()[:2]
        assert (await callers.call(first)).unwrap() is None
        assert (await callers.call(second)).unwrap().body == b"whole"
        assert callers.runs == [first]

    run(scenario)


@pytest.mark.parametrize("fault", ["kill", "replace", "pause", "drain", "cut"])
def test_a_member_that_fails_between_two_calls_causes_no_second_run(fault):
    """Guards against a second run if only the failed member recorded the claim."""

    async def scenario(cell, callers):
        first, second = callers.others()[:2]
        await callers.call(first)
        member = callers.group[0]
        if fault == "kill":
            await cell.kill(member)
        elif fault == "replace":
            await replace(cell, member)
        elif fault == "cut":
            cell.cut([member], [n for n in cell.processes if n != member])
        else:
            await getattr(cell.processes[member], fault)()
        assert (await callers.call(second)).unwrap().body == b"whole"
        assert callers.runs == [first]
        fresh = await callers.call(second, key="fresh")
        assert fresh.is_ok() or fault == "replace"

    run(scenario)


def test_replacing_every_member_in_turn_keeps_the_claim():
    """Guards against copies that leave out the records which the peer copied itself."""

    async def scenario(cell, callers):
        first, second = callers.others()[:2]
        await callers.call(first)
        for member in callers.group:
            await replace(cell, member)
            await asyncio.sleep(SETTLE_S)
        assert (await callers.call(second)).unwrap().body == b"whole"
        assert callers.runs == [first]

    run(scenario)


def test_a_crash_of_the_owner_leaves_the_outcome_unknown():
    """Guards against a second run after the process of the first run has crashed."""

    async def scenario(cell, callers):
        first, second = callers.others()[:2]
        await callers.call(first)
        await cell.kill(first)
        failure = (await callers.call(second)).unwrap_err()
        assert failure.kind is ErrorKind.OUTCOME_UNKNOWN
        assert callers.runs == [first]

    run(scenario)


def test_a_process_that_is_cut_off_runs_no_keyed_request():
    """Guards against runs on both sides of a partition."""

    async def scenario(cell, callers):
        first, second = callers.others()[:2]
        cell.cut([first], [n for n in cell.processes if n != first])
        failure = (await callers.call(first)).unwrap_err()
        assert failure.kind is ErrorKind.OUTCOME_UNKNOWN
        assert (await callers.call(second)).is_ok()
        assert callers.runs == [second]

    run(scenario)


def test_concurrent_calls_with_one_key_run_once():
    """Guards against a key that is granted to two processes at the same time."""

    async def scenario(cell, callers):
        names = callers.others()
        await asyncio.gather(*(callers.call(n) for n in names))
        assert len(callers.runs) <= 1

    run(scenario)


def test_a_released_key_can_run_elsewhere():
    """Guards against a claim that remains after its request did not run."""

    async def scenario(cell, callers):
        first, second = callers.others()[:2]
        keys = callers.keys(first)
        claim = keys.claim(KEY, "refused", BODY)
        assert (await cell.processes[first].run(claim)).unwrap() is None

        async def release():
            keys.release(KEY, "refused")

        await cell.processes[first].run(release())
        await asyncio.sleep(1.0)
        assert (await callers.call(second)).unwrap() is None

    run(scenario)


def test_two_replaced_members_give_no_certain_vote():
    """Guards against a majority of members that restarted without their records."""

    async def scenario(cell, callers):
        first, second = callers.others()[:2]
        await callers.call(first)
        for member in callers.group[:2]:
            await replace(cell, member)
        await asyncio.sleep(SETTLE_S)
        records = [callers.keys(m).records for m in callers.group]
        now = asyncio.get_running_loop().time()
        certain = sum(r.is_certain(callers.group, now) for r in records)
        assert certain < majority_of(callers.group)
        await callers.call(second)
        assert callers.runs == [first]

    run(scenario)
