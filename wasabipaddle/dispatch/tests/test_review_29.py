"""Paths on which a scheduler may start a task beside a run that goes on."""

import attrs

from wasabipaddle.dispatch import StartOutcome, StartTask
from wasabipaddle.dispatch.tests.conftest import QUEUES, step
from wasabipaddle.interfaces import EndCause
from wasabipaddle.jobs import CellConfiguration, TaskId


def starts_of(cell, entry):
    return [task for task, _, _ in cell.started if task.job == entry.id]


def route_batch_to(cell, pool):
    queues = {**QUEUES, "batch": attrs.evolve(QUEUES["batch"], pool=pool)}
    cell.scheduler.configure(
        CellConfiguration(version=2, queues=tuple(queues.values()))
    )


def test_wait_covers_the_pools_of_configurations_between(make_cell):
    """Guards against a second run after a queue moved to a pool and back."""
    cell = make_cell()
    for name in cell.runners:
        pool = "other" if name == "r1" else "pool"
        cell.scheduler.set_runner(cell.entry(name, pool=pool), cell.now)
    entry = cell.submit("j0", step(1, lasting=True))
    route_batch_to(cell, "other")
    cell.plan()
    assert cell.started == []
    records = cell.write()
    cell.plan()
    assert [name for _, _, name in cell.started] == ["r1"]
    cell.take_over(1, records, [entry.job])
    cell.scheduler.set_runner(cell.entry("r1", pool="other"), cell.now)
    cell.unresponsive.add("r1")
    cell.read_inventories()
    cell.plan()
    assert "r1" in cell.state.suspects
    assert starts_of(cell, entry) == []


def test_suspect_with_unread_ends_is_not_cleared_by_time(cell):
    """Guards against a start after an end that an unknown task holds back."""
    entry = cell.submit("j0", step(1))
    cell.plan()
    (task, run, name), fake = cell.started[0], cell.runners[cell.started[0][2]]
    fake.running[(TaskId("gone", 0, 0, 0), 1)] = ""
    fake.end(TaskId("gone", 0, 0, 0), 1, EndCause.STOPPED)
    cell.take_over(1, {}, [entry.job])
    cell.unresponsive.add(name)
    cell.read_inventories()
    cell.now = cell.state.suspects[name] - 1.0
    fake.end(task, run)
    cell.unresponsive.clear()
    cell.advance_time(5.0)
    assert starts_of(cell, entry) == []
    assert cell.state.jobs[entry.id].phase.final


def test_doubtful_run_is_not_gone_by_one_list(cell):
    """Guards against a start after a run whose order got no reply ended as done.

    The runner carries out the start and the run ends between the moments at which the
    runner lists ended and running tasks.
    """
    entry = cell.submit("j0", step(1))
    cell.scheduler.plan(cell.now)
    (order,) = [o for o in cell.scheduler.take_orders() if isinstance(o, StartTask)]
    run, runner = order.run, order.run.runner
    run.start_before_ms = cell.scheduler.leases.extend_by_start(runner, cell.now)
    cell.scheduler.replies.start_replied(run, StartOutcome.UNKNOWN, None, cell.now)
    cell.scheduler.take_orders()
    fake = cell.runners[runner.id]
    fake.running[run.key] = ""
    cell.now += cell.state.timing.start_s + 0.5
    listed = fake.inventory(runner.acknowledged)
    fake.end(*run.key)
    racing = attrs.evolve(listed, running=(), clock_ms=fake.clock_ms)
    cell.scheduler.reports.process_inventory(runner, racing, cell.now)
    cell.plan()
    cell.now += 0.1
    cell.read_inventories()
    assert entry.phase.final
    assert cell.started == []


def test_refused_connection_does_not_prove_an_exit(cell):
    """Guards against a second run of a draining runner behind a cut that refuses.

    Its registry entry expires behind the cut, while its runs go on under their lease.
    """
    entry = cell.submit("j0", step(1))
    cell.plan()
    name = cell.started[0][2]
    cell.scheduler.set_runner(cell.entry(name, draining=True), cell.now)
    cell.scheduler.mark_unlisted(name)
    cell.unresponsive.add(name)
    cell.read_inventories()
    cell.scheduler.advance(cell.now)
    cell.plan()
    assert cell.runners[name].running
    assert len(starts_of(cell, entry)) == 1
