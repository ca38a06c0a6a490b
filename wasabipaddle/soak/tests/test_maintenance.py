"""A wave of maintenance with real processes, and a leader that is killed in it."""

import asyncio
import math

import msgspec
import pytest

from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import JobSpec, StepSpec
from wasabipaddle.jobs.maintenance import Machine, MachineState
from wasabipaddle.platform import WAVE_PREFIX, encode_wave_status
from wasabipaddle.platform.client import JobCaller, encode_runner
from wasabipaddle.platform.tests.machine_routes import machine_routes
from wasabipaddle.soak.cell import MAINTENANCE_S, CellProcesses, callers_address
from wasabipaddle.soak.keys import SoakKeys
from wasabipaddle.soak.ledger import JobRecord, SoakLedger
from wasabipaddle.soak.platform import HOST, SoakPlatform
from wasabipaddle.soak.queues import QUEUES
from wasabipaddle.standins.listener import Listener
from wasabipaddle.standins.machines import MemoryMachines
from wasabipaddle.standins.runs import TaskBehaviour

JOB = "00000000000000aa"
LASTING = QUEUES[1]
SPEC = JobSpec(
    payload="p",
    steps=(StepSpec(count=3, cpu=1000, lasting=True, disruption_allowance=1),),
)
LIMIT_S = 120.0
STATUS_KEY, COMPLETED = encode_wave_status(1, completed=True)


@pytest.fixture
def make_parts(tmp_path):
    """Return a function that makes ledger, platform and processes of a small cell."""

    def make():
        ledger = SoakLedger()
        platform = SoakPlatform(
            ledger=ledger,
            processes=["p0", "p1"],
            runner_count=4,
            seed=1,
            keys=SoakKeys(names=()),
        )
        cell = CellProcesses(platform=platform, directory=tmp_path, ledger=ledger)
        return ledger, platform, cell

    return make


def make_machines(platform, lost):
    """Return a machine service whose machines have the runners of the platform."""

    def began(machine):
        runner = platform.runners.pop(machine.runner)
        del platform.clients[machine.runner]
        lost.extend(runner.runs)
        runner.shut_down()
        platform.memory.remove(encode_runner(runner.entry, 0)[0])

    async def ended(machine):
        return await platform.add_runner(rack=machine.rack)

    machines = [
        Machine(
            id=f"m{i}", pool="pool", state=MachineState.UP, rack=f"k{i}", runner=name
        )
        for i, name in enumerate(platform.runners)
    ]
    return MemoryMachines(
        machines=machines, maintenance_s=MAINTENANCE_S, began=began, ended=ended
    )


async def wait_until(condition):
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.1)


def count_running(platform):
    return sum(len(runner.runs) for runner in platform.runners.values())


def test_wave_goes_on_after_the_leader_is_killed(make_parts):
    """Guards against machines that are asked twice, left out, or lose work."""
    lost = []

    async def main():
        ledger, platform, cell = make_parts()
        await platform.start()
        service = make_machines(platform, lost)
        listener = Listener(routes=machine_routes(service), host=HOST)
        await listener.start()
        platform.machines_address = f"{HOST}:{listener.port}"
        caller = JobCaller(wait_s=5.0)
        ledger.jobs[JOB] = JobRecord(
            id=JOB,
            queue=LASTING,
            spec=SPEC,
            behaviours=(TaskBehaviour(work_s=math.inf),),
        )
        try:
            await cell.start(caller)
            address = callers_address(platform, "p0")
            accepted = await caller.submit(address, LASTING, JOB, SPEC)
            assert accepted.status == 200
            await wait_until(lambda: count_running(platform) == 3)
            names = list(service.machines)
            body = {"wave": 1, "machines": names, "duration_s": 60, "cap": 1}
            value = msgspec.json.encode(body)
            put = Put(key=f"{WAVE_PREFIX}1", value=value)
            platform.memory.apply((), (put,), ())
            await wait_until(lambda: len(service.done) >= 2)
            cell.kill(platform.leader())
            await wait_until(
                lambda: (
                    getattr(platform.memory.items.get(STATUS_KEY), "value", b"")
                    == COMPLETED
                )
            )
            assert sorted(service.done) == [(1, name) for name in sorted(names)]
            await wait_until(lambda: count_running(platform) == 3)
        finally:
            await cell.close()
            await caller.close()
            await listener.close()
            await platform.close()

    asyncio.run(main())
    assert lost == []
