"""Order in which steps ask the eligibility service while its processes are busy."""

import pytest

from wasabipaddle.cell.tests.advice_parts import AdvicePlay
from wasabipaddle.clock import run_virtual
from wasabipaddle.dispatch.tests.conftest import step

# Longest time until a task that lasts runs again if runners have room for it.
RESTART_S = 6.0


@pytest.mark.parametrize(("queue", "services"), [("first", 12), ("last", 1)])
@pytest.mark.parametrize("seed", range(3))
def test_tasks_that_last_run_again_during_a_burst(queue, services, seed):
    """Guards against tasks that wait for advice behind many other steps.

    The room suffices for all; what is scarce are the answers of the service.
    """

    async def main():
        play = AdvicePlay(runners=24, processes=8, seed=seed)
        spec = step(4, lasting=True, cpu=5000, memory_mb=3000, max_per_runner=1)
        names = [f"service{i}" for i in range(services)]
        for name in names:
            play.cell.submit(name, spec, queue=queue)
        await play.run(8.0)
        assert all(play.count_starts(name) == 4 for name in names)
        await play.run(6.0, jobs_per_s=16.0)
        for name in names:
            play.fail_task(name)
        failed_s = play.now()
        await play.run(
            20.0,
            jobs_per_s=16.0,
            until=lambda: all(play.count_starts(name) > 4 for name in names),
        )
        return play.now() - failed_s

    assert run_virtual(main()) <= RESTART_S
