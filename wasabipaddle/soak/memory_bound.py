"""Lasting work of a soak test that finds no memory on some runners with processors."""

import asyncio

from wasabipaddle.jobs import StepSpec
from wasabipaddle.soak.queues import ADVISED, RESIDENT
from wasabipaddle.soak.shapes import COMPUTE, MEMORY

__all__ = ["MemoryBoundWork"]

# One task of this step on each runner leaves no memory for a task of an advised job.
CACHE_STEP = StepSpec(
    count=1,
    cpu=100,
    memory_mb=12_000,
    image="cache",
    lasting=True,
    max_per_runner=1,
    required_label=COMPUTE.label,
)
# Tasks of this step leave the runners with free memory fewer processors than others.
INDEX_STEP = StepSpec(
    count=1,
    cpu=13_000,
    memory_mb=1_000,
    image="index",
    lasting=True,
    max_per_runner=1,
    required_label=MEMORY.label,
)
ADVISED_JOBS = 4
MAX_ADVISED_TASKS = 3
ADVISED_CPU = (200, 400)
ADVISED_MEMORY_MB = (6_000, 8_000, 10_000)
SUBMISSION_INTERVAL_S = 3.0
# Mean time after which a run of an advised job fails by itself.
MEAN_LIFE_S = 20.0


class MemoryBoundWork:
    """Submits lasting jobs that stay, some of whose runs fail by themselves.

    Parameters
    ----------
    platform : SoakPlatform
        Runners of the shapes `COMPUTE` and `MEMORY`.
    random : random.Random
        Random number generator for all choices.
    submit : callable
        Submits a lasting job to a queue, with a step and the mean life of its runs.
    """

    def __init__(self, *, platform, random, submit):
        self.platform = platform
        self.random = random
        self.submit = submit

    async def run(self):
        """Submit the jobs that occupy runners, and the advised ones over time."""
        for step, shape in ((CACHE_STEP, COMPUTE), (INDEX_STEP, MEMORY)):
            self.submit(RESIDENT.name, step, count=self._count(shape))
        for _ in range(ADVISED_JOBS):
            await asyncio.sleep(self.random.uniform(0.0, 2 * SUBMISSION_INTERVAL_S))
            self._submit_advised()

    def _count(self, shape):
        runners = self.platform.runners.values()
        return sum(shape.label in runner.entry.labels for runner in runners)

    def _submit_advised(self):
        step = StepSpec(
            count=1,
            cpu=self.random.choice(ADVISED_CPU),
            memory_mb=self.random.choice(ADVISED_MEMORY_MB),
            image="advised",
            lasting=True,
        )
        self.submit(
            ADVISED.name,
            step,
            count=self.random.randint(1, MAX_ADVISED_TASKS),
            mean_life_s=MEAN_LIFE_S,
        )
