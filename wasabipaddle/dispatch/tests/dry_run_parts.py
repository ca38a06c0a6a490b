"""Questions to a dispatcher where a job would go, for tests."""

import attrs

from wasabipaddle.dispatch import StartTask
from wasabipaddle.dispatch.dry_run import DryRun
from wasabipaddle.dispatch.tests.conftest import QUEUES
from wasabipaddle.jobs import Job, JobSpec

ATOMS = (str, bytes, int, float, type(None))
ASKED = "asked"


def snapshot(value):
    """Return the content of an object and of all that it refers to.

    References are numbers in the order of the visit, so that exchanged objects show.
    """
    numbers, visited = {id(value): 0}, [value]

    def refer(part):
        if isinstance(part, ATOMS):
            return part
        if id(part) not in numbers:
            numbers[id(part)] = len(visited)
            visited.append(part)
        return ("reference", numbers[id(part)])

    return [(type(part), list(map(refer, list_parts(part)))) for part in visited]


def list_parts(value):
    """Return what an object consists of."""
    if isinstance(value, dict):
        return [*value.keys(), *value.values()]
    if isinstance(value, list | tuple):
        return value
    if attrs.has(type(value)):
        return [getattr(value, field.name) for field in attrs.fields(type(value))]
    if type(value).__module__.startswith("wasabipaddle") and hasattr(value, "__dict__"):
        return [vars(value)]
    return [repr(value)]


def make_job(cell, *steps, queue="batch", workspace="", job_id=ASKED):
    return Job(
        id=job_id,
        policy=QUEUES[queue],
        accepted_ms=int(cell.now * 1000),
        spec=JobSpec(payload="p", steps=steps),
        workspace=workspace,
    )


def ask(cell, job, **options):
    return DryRun(scheduler=cell.scheduler, now=cell.now, **options).place(job)


def submit(cell, job):
    """Submit a job; return its starts by runner, and the runners that it asks for."""
    cell.scheduler.lifecycle.add_job(job, cell.now)
    requests = cell.scheduler.plan(cell.now)
    starts = {}
    for order in cell.scheduler.take_orders():
        if isinstance(order, StartTask) and order.run.task.id.job == job.id:
            name = order.run.runner.id
            starts[name] = starts.get(name, 0) + 1
    asked = [request.runners for request in requests if request.step.job.id == job.id]
    return starts, tuple(r.id for r in asked[0]) if asked else ()
