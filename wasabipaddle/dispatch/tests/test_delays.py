"""Which lines tell why a task that lasts does not run."""

import pytest

from wasabipaddle.dispatch.delays import MAX_STEPS, Delay
from wasabipaddle.dispatch.tests.conftest import step
from wasabipaddle.interfaces import EndCause


@pytest.fixture
def waiting(cell):
    """Return a cell with an advised step that lasts and waits for its first start."""
    cell.submit("svc", step(1, lasting=True), queue="advised")
    return cell


def find_lines(cell, kind):
    return [values for event, values in cell.events if event == kind]


def answer(cell, requests, eligible):
    for request in requests:
        tickets = {r.id: "t" for r in request.runners if r.id in eligible}
        cell.scheduler.advisor.record_answer(
            request.step, request.runners, tickets, 2.5, cell.now
        )


def plan_later(cell, seconds):
    cell.now += seconds
    cell.read_inventories()
    return cell.plan()[0]


def test_line_names_the_answer_that_a_waiting_task_lacks(waiting):
    """Guards against tasks that wait with room for them, without a line in the log."""
    waiting.plan()
    plan_later(waiting, 2.5)
    (line,) = find_lines(waiting, "task_waits")
    assert line["reason"] == Delay.NOT_ASKED.value
    assert (line["with_room"], line["eligible"], line["not_asked"]) == (2, 0, 2)
    assert (line["waited_ms"], line["request_age_ms"]) == (2500, 2500)


def test_line_names_answers_that_rule_out_all_runners_with_room(waiting):
    """Guards against a missing answer and a refusal that look alike."""
    answer(waiting, waiting.plan()[0], eligible=())
    plan_later(waiting, 2.5)
    (line,) = find_lines(waiting, "task_waits")
    assert line["reason"] == Delay.INELIGIBLE.value


def test_line_names_a_ticket_that_is_not_valid(waiting):
    """Guards against tickets for other runners that look like a lack of room."""
    requests, _ = waiting.plan()
    answer(waiting, requests, eligible=("r0",))
    plan_later(waiting, 2.5)
    (line,) = find_lines(waiting, "task_waits")
    assert line["reason"] == Delay.TICKET.value
    assert (line["eligible"], line["tickets"]) == (1, 0)


def test_line_names_suspect_runners(cell):
    """Guards against waits after a takeover that look like a lack of room."""
    jobs = [cell.submit("svc", step(1, lasting=True)).job]
    cell.take_over(2, {}, jobs)
    cell.state.suspects["gone"] = cell.now + 7.0
    cell.clear_suspects()
    plan_later(cell, 2.5)
    (line,) = find_lines(cell, "task_waits")
    assert line["reason"] == Delay.SUSPECTS.value
    assert line["suspects"] == 1


def test_task_without_room_gets_no_line(cell):
    """Guards against lines about a full cell, which no one can act on."""
    cell.submit("svc", step(20, lasting=True))
    cell.plan()
    plan_later(cell, 2.5)
    assert not find_lines(cell, "task_waits")
    assert cell.scheduler.delays.longest_wait_s == 0.0


def test_lines_come_once_a_second(waiting):
    """Guards against a line in each planning round."""
    waiting.plan()
    for _ in range(16):
        plan_later(waiting, 0.25)
    assert len(find_lines(waiting, "task_waits")) == 3
    assert waiting.scheduler.delays.longest_wait_s == pytest.approx(4.0, abs=1.0)


def test_line_names_a_run_whose_runner_is_silent(cell):
    """Guards against tasks that a lost runner holds, without a line in the log."""
    cell.submit("svc", step(1, lasting=True))
    cell.plan()
    ((_, _, host),) = cell.started
    cell.unresponsive.add(host)
    plan_later(cell, 2.5)
    (line,) = find_lines(cell, "run_in_doubt")
    assert (line["runner"], line["inventory_age_ms"]) == (host, 2500)


def test_run_at_work_gets_no_line(cell):
    """Guards against lines about sound runs."""
    cell.submit("svc", step(1, lasting=True))
    cell.submit("done", step(1))
    cell.plan()
    (task, run, host) = next(s for s in cell.started if s[0].job == "done")
    cell.runners[host].end(task, run, EndCause.COMPLETED)
    plan_later(cell, 2.5)
    assert not find_lines(cell, "run_in_doubt")


def test_steps_without_room_hide_no_step_that_has_room(cell):
    """Guards against a limit of lines that steps without room use up."""
    for i in range(MAX_STEPS):
        cell.submit(f"large{i}", step(1, lasting=True, cpu=5000))
    cell.now += 1.0
    cell.submit("svc", step(1, lasting=True), queue="advised")
    cell.plan()
    plan_later(cell, 2.5)
    (line,) = find_lines(cell, "task_waits")
    assert line["job"] == "svc"
