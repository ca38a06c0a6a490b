"""Tests of the structured log and of the history of a job."""

import os
import random

import msgspec
import pytest

from wasabipaddle.clock import ManualClock, TimerService
from wasabipaddle.commands.explain import explain as explain_command
from wasabipaddle.exceptions import WasabipaddleError
from wasabipaddle.logs import StructuredLog, explain, read_lines


class Timers(TimerService):
    """Timers that fire when the test calls `fire`."""

    def __init__(self):
        super().__init__(random=random.Random(1))
        self.actions = []

    def after(self, delay_s, action):
        self.actions.append(action)

    def fire(self):
        actions, self.actions = self.actions, []
        for action in actions:
            action()


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def make_log(writer):
    clock, timers = ManualClock(time_s=5.0), Timers()
    log = StructuredLog(process="p0", clock=clock, timers=timers, descriptor=writer)
    return log, clock, timers


def lines_of(data):
    return [msgspec.json.decode(line) for line in data.splitlines()]


def test_line_has_time_process_event_and_values(pipe):
    """Guards against lines that lack the fields by which a job is found."""
    log, _, timers = make_log(pipe[1])
    log("job_accepted", job="j0", took_ms=4, reason=None)
    timers.fire()
    assert lines_of(os.read(pipe[0], 1000)) == [
        {
            "ms": 5000,
            "process": "p0",
            "event": "job_accepted",
            "job": "j0",
            "took_ms": 4,
        }
    ]


def test_stalled_reader_does_not_block_the_process(pipe):
    """Guards against a process that blocks on its log or queues it without limit."""
    log, clock, timers = make_log(pipe[1])
    for i in range(20_000):
        clock.advance(0.01)
        log("run_ended", number=i, detail="x" * 100)
        timers.fire()
    assert len(log.queue) <= 4_000
    assert log.dropped > 0


def test_flood_of_one_kind_is_bounded_and_counted(pipe):
    """Guards against a flood of one kind that fills the queue or hides other kinds."""
    log, clock, _ = make_log(pipe[1])
    for _ in range(10_000):
        log("run_ended")
    assert len(log.queue) <= 400
    clock.advance(1.0)
    log("run_ended")
    assert msgspec.json.decode(log.queue[-1])["suppressed"] > 9_000
    log("job_ended")
    assert msgspec.json.decode(log.queue[-1])["event"] == "job_ended"


def log_row(ms, event, process="p0", **values):
    line = {"ms": ms, "process": process, "event": event, **values}
    return "  0.1 front " + msgspec.json.encode(line).decode()


FIRST_LOG = "\n".join(
    [
        "not a line of the log",
        log_row(10, "job_accepted", job="j0"),
        log_row(15, "job_accepted", job="j1"),
        log_row(40, "job_ended", job="j0", phase="failed"),
        log_row(50, "store_lost"),
    ]
)
SECOND_LOG = "\n".join(
    [
        log_row(20, "run_started", "p1", job="j0", runner="r0"),
        log_row(25, "runner_lost", "p1", runner="r0"),
        log_row(26, "runner_lost", "p1", runner="r1"),
        log_row(27, "watch_lost", "p1", watch="registry"),
        log_row(28, "watch_lost", "p1", watch="configuration"),
        log_row(30, "reign_began", "p1"),
    ]
)


def test_history_has_the_lines_of_a_job_and_of_its_runners():
    """Guards against a history that omits the loss of a runner or a watch."""
    found = explain("j0", read_lines([FIRST_LOG, SECOND_LOG]))
    assert [(line.event, line.values.get("runner")) for line in found] == [
        ("job_accepted", None),
        ("run_started", "r0"),
        ("runner_lost", "r0"),
        ("watch_lost", None),
        ("reign_began", None),
        ("job_ended", None),
    ]
    assert explain("j9", read_lines([FIRST_LOG, SECOND_LOG])) == []


def test_command_prints_the_history(tmp_path, capsys):
    """Guards against a command that ignores a missing file or an unknown job."""
    path = tmp_path / "p0.log"
    path.write_text(FIRST_LOG)
    explain_command("j0", [str(path)])
    assert "phase=failed" in capsys.readouterr().out
    with pytest.raises(WasabipaddleError):
        explain_command("j9", [str(path)])
    with pytest.raises(WasabipaddleError):
        explain_command("j0", [str(tmp_path / "missing.log")])


def test_history_says_in_words_that_a_job_waits_for_a_quota():
    """Guards against a wait that only a reader of the code can explain."""
    row = log_row(20, "waits_for_quota", job="j0", step=0, used_percent=96)
    (line,) = explain("j0", read_lines([row]))
    assert "step 0 waits for the quota of its workspace, 96% used" in str(line)
    (line,) = explain("j0", read_lines([log_row(20, "waits_for_quota", job="j0")]))
    assert "quota" in str(line)


def test_history_of_a_wave_has_its_machines_and_what_moved():
    """Guards against a wave whose wait only a reader of the code can explain."""
    rows = [
        log_row(10, "maintenance_drain", wave=3, machine="m0", runner="r0"),
        log_row(11, "run_evacuated", job="j0", runner="r0"),
        log_row(12, "run_evacuated", job="j0", runner="r1"),
        log_row(13, "maintenance_drain", wave=4, machine="m1", runner="r1"),
        log_row(14, "maintenance_waits", wave=3, reason="allowance", machines_left=2),
    ]
    found = explain("wave-3", read_lines(rows))
    assert [line.ms for line in found] == [10, 11, 14]
    assert "wave 3 waits, reason: allowance, machines left: 2" in str(found[-1])
    assert explain("wave-5", read_lines(rows)) == []
