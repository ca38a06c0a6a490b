"""Takeovers: recovery of the scheduler from the store and the runners."""

import attrs

from wasabipaddle.dispatch.quotas import Quotas
from wasabipaddle.dispatch.tests.conftest import step
from wasabipaddle.interfaces import EndCause
from wasabipaddle.interfaces.store import MAX_VALUE_BYTES
from wasabipaddle.jobs import Capacity, JobPhase, Workspace, encode_fleet


def test_first_clock_reading_of_a_runner_is_used(cell):
    """Guards against a lease end that is not computed on the clock of the runner.

    The clock of the fake runner is 500 ms ahead of the clock of the scheduler.
    """
    runner = cell.state.runners["r0"]
    until_ms = cell.scheduler.leases.extend_by_inventory(runner, cell.now)
    assert until_ms - cell.runners["r0"].clock_ms == 4000


def test_first_clock_readings_after_a_takeover_are_no_corrections(cell):
    """Guards against a log line for each runner that hides those on real corrections.

    A successor knows the incarnation of a runner before it has read its clock.
    """
    cell.take_over(1, {}, [])
    cell.now += 100.0
    for name, fake in cell.runners.items():
        runner = cell.state.runners[name]
        runner.incarnation = 1
        inventory = attrs.evolve(fake.inventory(0), clock_ms=500)
        cell.scheduler.reports.process_inventory(runner, inventory, cell.now)
    kinds = {kind for kind, _ in cell.events}
    assert not kinds & {"clock_set_back", "clock_reading_ignored"}


def test_runs_found_at_takeover_keep_their_lease(cell):
    """Guards against a second run of a task while the first run continues.

    The scheduler does not know the lease that the previous dispatcher granted, and
    must not regard it as expired.
    """
    entry = cell.submit("j0", step(2))
    cell.plan()
    cell.take_over(1, {}, [entry.job])
    inventories = {n: f.inventory(0) for n, f in cell.runners.items()}
    for name, inventory in inventories.items():
        runner = cell.state.runners[name]
        cell.scheduler.reports.process_inventory(runner, inventory, cell.now)
    cell.scheduler.advance(cell.now + 0.1)
    cell.plan()
    assert cell.started == []


def test_task_whose_end_neither_list_shows_at_a_takeover_runs_once(cell):
    """Guards against a second run of a task that ends while its runner is listed.

    The runner reads its ended runs before the end and its running ones after it.
    """
    entry = cell.submit("j0", step(1))
    cell.plan()
    run = entry.steps[(0, 0)].tasks[0].runs[0]
    fake = cell.runners[run.runner.id]
    cell.take_over(1, {}, [entry.job])
    before = fake.inventory(0)
    fake.end(*run.key)
    requested_s, cell.now = cell.now, cell.now + 0.1
    for name, other in cell.runners.items():
        inventory = attrs.evolve(before, running=()) if other is fake else None
        cell.scheduler.reports.process_inventory(
            cell.state.runners[name],
            inventory or other.inventory(0),
            cell.now,
            requested_s=requested_s,
        )
    cell.plan()
    assert cell.started == []
    cell.read_inventories()
    cell.plan()
    assert cell.started == []
    assert cell.state.jobs["j0"].phase is JobPhase.COMPLETED


def test_inventory_requested_before_the_first_one_clears_no_suspect(cell):
    """Guards against two lists of the same moment that count as one after the other."""
    entry = cell.submit("j0", step(1))
    cell.take_over(1, {}, [entry.job])
    requested_s, cell.now = cell.now, cell.now + 0.1
    for _ in range(3):
        for name, fake in cell.runners.items():
            cell.scheduler.reports.process_inventory(
                cell.state.runners[name],
                fake.inventory(0),
                cell.now,
                requested_s=requested_s,
            )
    assert set(cell.state.suspects) == set(cell.runners)
    cell.read_inventories()
    assert not cell.state.suspects


def test_successor_waits_for_all_runners_of_the_predecessor(cell):
    """Guards against a second run of a task whose runner has not answered yet."""
    entry = cell.submit("j0", step(2))
    cell.plan()
    cell.take_over(1, {}, [entry.job])
    cell.unresponsive.add("r1")
    cell.read_inventories()
    cell.plan()
    assert cell.started == []
    cell.unresponsive.clear()
    cell.read_inventories()
    cell.plan()
    assert cell.started == []
    assert sum(len(r.runs) for r in cell.state.runners.values()) == 2


def test_wait_for_unresponsive_runner_of_predecessor_ends_with_its_leases(cell):
    """Guards against jobs that wait for ever for a runner that no longer exists."""
    entry = cell.submit("j0", step(2))
    cell.plan()
    lost = {t.runs[0].runner.id for t in entry.steps[(0, 0)].tasks}
    cell.take_over(1, {}, [entry.job])
    cell.unresponsive.update(lost)
    if lost == set(cell.runners):
        cell.add_runner("r9")
    cell.advance_time(5.0)
    assert cell.started == []
    cell.advance_time(2.0)
    assert len(cell.started) == 2


def test_end_of_a_final_job_does_not_block_later_ends(cell):
    """Guards against a completed task that runs again after a takeover.

    The final state of job j0 is stored and the progress of j1 is not; the runners list
    the ended runs of both again.
    """
    first = cell.submit("j0", step(1))
    second = cell.submit("j1", step(1))
    cell.plan()
    for entry in (first, second):
        run = entry.steps[(0, 0)].tasks[0].runs[0]
        cell.runners[run.runner.id].end(*run.key)
        cell.runners[run.runner.id].acknowledged = 0
    cell.read_inventories()
    records = cell.write()
    del records["j1"]
    cell.take_over(1, records, [first.job, second.job])
    cell.read_inventories()
    cell.plan()
    assert cell.started == []
    assert cell.state.jobs["j1"].phase is JobPhase.COMPLETED


def test_failure_that_is_listed_again_counts_once(cell):
    """Guards against a job that fails because two dispatchers count the same failure.

    The runner lists the failure to both dispatchers; the queue allows two attempts.
    """
    entry = cell.submit("j0", step(1), queue="urgent")
    cell.plan()
    run = entry.steps[(0, 0)].tasks[0].runs[0]
    cell.runners[run.runner.id].end(*run.key, EndCause.FAILED)
    cell.read_inventories()
    records = cell.write()
    cell.take_over(1, records, [entry.job])
    cell.clear_suspects()
    assert cell.state.jobs["j0"].phase is not JobPhase.FAILED
    cell.plan()
    assert len(cell.started) == 1


def test_ends_of_unknown_jobs_are_kept_until_the_job_is_known(cell):
    """Guards against a lost completion when the watch has not delivered the job yet."""
    entry = cell.submit("j0", step(1))
    cell.plan()
    run = entry.steps[(0, 0)].tasks[0].runs[0]
    name = run.runner.id
    cell.runners[name].end(*run.key)
    cell.take_over(1, {}, [])
    cell.read_inventories()
    assert name in cell.state.suspects
    cell.now += 0.5
    cell.scheduler.lifecycle.add_job(entry.job, cell.now, recovered=True)
    cell.read_inventories()
    assert cell.state.jobs["j0"].phase is JobPhase.COMPLETED


def test_run_numbers_rise_over_a_takeover(cell):
    """Guards against starts that a runner refuses because it knows a higher number."""
    entry = cell.submit("j0", step(1))
    cell.plan()
    first = cell.started[0][1]
    run = entry.steps[(0, 0)].tasks[0].runs[0]
    cell.runners[run.runner.id].end(*run.key, EndCause.STOPPED)
    cell.take_over(1, {}, [entry.job])
    cell.clear_suspects()
    cell.plan()
    assert cell.started[0][1] > first


def test_second_end_of_a_gang_is_acknowledged_after_the_write_of_the_first(cell):
    """Guards against a gang that runs again after a takeover.

    The first end completes the job. If a later end were acknowledged before that
    progress is durable, its runner would no longer list it to the next dispatcher.
    The soak test with seed 2 found this fault.
    """
    entry = cell.submit("j0", step(2, gang=True, max_per_runner=1))
    cell.plan()
    for task in entry.steps[(0, 0)].tasks:
        (run,) = task.runs
        cell.runners[run.runner.id].end(task.id, run.number)
        cell.read_inventories(run.runner.id)
    acknowledged = [r.acknowledged for r in cell.state.runners.values()]
    cell.write()
    written = [r.acknowledged for r in cell.state.runners.values()]
    assert (acknowledged, written) == ([0, 0], [1, 1])


def test_end_of_a_speculative_copy_is_acknowledged_after_the_write_of_the_first(cell):
    """Guards against an early acknowledgement of the second run of a task.

    The second run ends while the write of the end of the first run is in progress.
    """
    entry = cell.submit("j0", step(1, speculative=True), step(1))
    cell.plan()
    first, second = entry.steps[(0, 0)].tasks[0].runs[0], None
    cell.now += 3.0
    cell.scheduler.placement.plan_copies(cell.now)
    cell.plan()
    second = entry.steps[(0, 0)].tasks[0].runs[1]
    cell.runners[first.runner.id].end(first.task.id, first.number)
    cell.read_inventories(first.runner.id)
    _, generation = cell.state.take_dirty()
    cell.runners[second.runner.id].end(second.task.id, second.number)
    cell.read_inventories(second.runner.id)
    assert second.runner.acknowledged == 0
    cell.scheduler.reports.record_write([], generation)
    cell.write()
    assert second.runner.acknowledged == 1


def test_wait_for_a_suspect_runner_concerns_the_jobs_of_its_pool_only(cell):
    """Guards against an outage of one pool that stops the recovered jobs of another."""
    entry = cell.submit("j0", step(1))
    cell.take_over(1, {}, [entry.job])
    cell.unresponsive.add("r1")
    runner = cell.state.runners["r1"]
    cell.scheduler.set_runner(attrs.evolve(runner.entry, pool="other"), cell.now)
    cell.clear_suspects()
    cell.plan()
    assert len(cell.started) == 1


def recorded(cell, *, with_waits=True):
    rows = cell.scheduler.runners_to_record(cell.now, with_waits=with_waits)
    return {row.id: row.wait_s for row in rows}


def test_draining_runner_without_runs_is_left_out_of_the_fleet_record(cell):
    """Guards against a wait of the next dispatcher for a runner that left idle."""
    entry = cell.submit("j0", step(1))
    cell.plan()
    run = entry.steps[(0, 0)].tasks[0].runs[0]
    name = run.runner.id
    cell.scheduler.set_runner(cell.entry(name, draining=True), cell.now)
    assert recorded(cell) == {"r0": None, "r1": None}
    cell.runners[name].end(*run.key)
    cell.read_inventories()
    assert name in recorded(cell), "its end is not durable yet"
    cell.write()
    assert name not in recorded(cell)
    cell.scheduler.set_runner(cell.entry(name), cell.now)
    assert name in recorded(cell)


def test_wait_for_a_suspect_runner_goes_on_over_takeovers(cell):
    """Guards against a wait that each of several takeovers in a row starts anew."""
    entry = cell.submit("j0", step(1))
    cell.take_over(1, {}, [entry.job])
    cell.unresponsive.add("r1")
    cell.advance_time(2.0)
    waits = recorded(cell)
    assert waits["r0"] is None
    assert 4.0 < waits["r1"] < 4.4
    assert recorded(cell, with_waits=False) == {"r0": None, "r1": None}
    cell.unresponsive.clear()
    cell.clear_suspects()
    assert recorded(cell) == {"r0": None, "r1": None}


def test_runner_whose_address_another_runner_has_is_not_waited_for(cell):
    """Guards against recovered jobs that wait for a runner that has exited."""
    entry = cell.submit("j0", step(2))
    cell.plan()
    cell.take_over(1, {}, [entry.job])
    cell.unresponsive.add("r1")
    cell.clear_suspects()
    cell.plan()
    assert cell.started == []
    runner = cell.state.runners["r1"]
    cell.scheduler.runner_exited(runner, cell.now)
    cell.plan()
    assert [name for _, _, name in cell.started] == ["r0"]
    assert not runner.usable(cell.now)
    assert "r1" not in recorded(cell)


def test_runs_on_a_runner_that_has_exited_start_elsewhere_at_once(cell):
    """Guards against a task that waits for the lease on a runner that has exited."""
    entry = cell.submit("j0", step(1))
    cell.plan()
    run = entry.steps[(0, 0)].tasks[0].runs[0]
    cell.scheduler.runner_exited(run.runner, cell.now)
    cell.plan()
    assert len(cell.started) == 2
    assert cell.started[1][2] != run.runner.id


def test_expired_lease_waits_for_a_proof_of_leadership(cell):
    """Guards against a second run of a task whose lease a later leader has extended."""
    cell.submit("j0", step(1, lasting=True))
    cell.plan()
    cell.unresponsive.add(cell.started[0][2])
    proved_s = cell.now
    cell.now += 6.0
    cell.scheduler.advance(cell.now, proved_s=proved_s)
    cell.plan()
    assert len(cell.started) == 1
    cell.scheduler.advance(cell.now + 0.5, proved_s=cell.now + 0.4)
    cell.plan()
    assert len(cell.started) == 2


def test_cleared_suspect_waits_for_a_proof_of_leadership(cell):
    """Guards against a second run beside one whose lease a later leader extends."""
    entry = cell.submit("j0", step(1, lasting=True))
    cell.plan()
    lost = cell.started[0][2]
    cell.take_over(1, {}, [entry.job])
    cell.unresponsive.add(lost)
    cell.read_inventories()
    cleared_s = cell.state.suspects[lost]
    cell.now = cleared_s + 1.0
    cell.scheduler.advance(cell.now, proved_s=cleared_s - 0.1)
    assert lost in cell.state.suspects
    cell.scheduler.advance(cell.now, proved_s=cleared_s + 0.1)
    assert lost not in cell.state.suspects


def test_end_that_is_not_durable_yet_is_recorded_for_a_leaving_runner(cell):
    """Guards against a second run of a task whose end a successor does not know.

    The runner lists the end until its write is acknowledged.
    """
    entry = cell.submit("j0", step(1))
    cell.plan()
    run = entry.steps[(0, 0)].tasks[0].runs[0]
    runner = run.runner
    cell.runners[runner.id].end(*run.key)
    cell.read_inventories()
    assert not runner.runs
    cell.scheduler.set_runner(cell.entry(runner.id, draining=True), cell.now)
    rows = cell.scheduler.runners_to_record(cell.now, with_waits=False, term=3)
    assert {row.id: row.jobs for row in rows}[runner.id] == ("j0",)
    cell.write()
    rows = cell.scheduler.runners_to_record(cell.now, with_waits=False, term=3)
    assert runner.id not in {row.id for row in rows}


def test_new_jobs_cost_no_visit_of_all_jobs_while_a_runner_is_suspect(
    cell, monkeypatch
):
    """Guards against a visit of all tasks for each job that is submitted.

    Only jobs from before the takeover may have runs on the suspect runner.
    """
    cell.set_workspaces(Workspace(name="shop", quota=Capacity(cpu=3000)))
    entry = cell.submit("j0", step(4), workspace="shop")
    cell.take_over(1, {}, [entry.job])
    cell.unresponsive.add("r1")
    cell.read_inventories()
    cell.plan()
    assert cell.state.quotas.unknown["shop"].cpu == 4000
    visits = []
    find = Quotas._find_unknown

    def count_visit(quotas):
        visits.append(quotas)
        return find(quotas)

    monkeypatch.setattr(Quotas, "_find_unknown", count_visit)
    for number in range(5):
        cell.submit(f"new{number}", step(1), workspace="shop")
        cell.plan()
    assert not visits


def test_names_of_jobs_leave_room_in_the_fleet_record(make_cell):
    """Guards against a record that is too large for the store while a fleet leaves.

    The rows beyond the bound let any job wait.
    """
    cell = make_cell(runners=20)
    for name, runner in cell.state.runners.items():
        runner.recorded_jobs = frozenset(f"{name}-{n}".zfill(1000) for n in range(64))
        cell.state.suspects[name] = cell.now + 6.0
    rows = cell.scheduler.runners_to_record(cell.now, with_waits=True, term=3)
    assert len(encode_fleet(rows)) <= MAX_VALUE_BYTES
    assert len(rows) == 20
    named = [row for row in rows if row.jobs is not None]
    assert 0 < len(named) < 20
    for row in named:
        assert set(row.jobs) == cell.state.runners[row.id].recorded_jobs
