"""Tests of the command line against a running HTTP API."""

import asyncio
import json
import os
import subprocess
import sys

import pytest

from wasabipaddle.api.tests.cell import EXAMPLES, open_cell
from wasabipaddle.clock import HybridTime
from wasabipaddle.commands import main
from wasabipaddle.commands.client import ApiClient, ApiResponse
from wasabipaddle.commands.exit_codes import exit_code
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.messages import encode
from wasabipaddle.timeline import Event, EventKind, Timeline

TOKEN = "archive-token-0001"
FILE = str(EXAMPLES / "anniversary-pages.yaml")
VARIABLES = ("SERVER", "TOKEN", "TOKEN_FILE", "AUTHORITY", "PROCESS")


@pytest.fixture
def command(capsys, monkeypatch):
    """Return a function that runs a command and returns (code, stdout, stderr)."""
    for name in VARIABLES:
        monkeypatch.delenv(f"WASABIPADDLE_{name}", raising=False)

    def run(*arguments):
        code = 0
        try:
            main(list(arguments))
        except SystemExit as error:
            code = error.code
        captured = capsys.readouterr()
        assert TOKEN not in captured.out + captured.err
        return code, captured.out, captured.err

    return run


@pytest.fixture
def token_file(tmp_path):
    path = tmp_path / "token"
    path.write_text(TOKEN + "\n")
    return str(path)


def in_cell(steps):
    """Run the coroutine function `steps` against a running HTTP API."""

    async def run():
        async with open_cell() as cell:
            await steps(cell)

    asyncio.run(run())


def test_help_lists_exit_codes(command):
    """Guards against a help text without the exit codes or the command groups."""
    code, out, err = command("--help")
    assert (code, err) == (0, "")
    assert "5  server unreachable" in out and "GROUPS" in out


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["service", "check", FILE], 0),
        (["service", "check", str(EXAMPLES / "settings.yaml")], 1),
        (["service", "check", "absent.yaml"], 1),
        (["service", "check", FILE, "--jsn"], 2),
        (["service", "apply", FILE, "--revision=x", "--server=http://127.0.0.1:1"], 2),
        (["run", "wait", "s.1", "--timeout=9x", "--server=http://127.0.0.1:1"], 2),
        (["cluster", "status"], 2),
        (["frobnicate"], 2),
        (["cluster", "status", "--server=http://127.0.0.1:1"], 5),
        (["where", FILE], 2),
        (["where", FILE, "--process=127.0.0.1"], 2),
        (["where", "absent.txt", "--process=127.0.0.1:1"], 3),
        (["where", FILE, "--queue=q", "--process=127.0.0.1:1"], 2),
        (["where", os.devnull, "--queue=q", "--process=127.0.0.1:1"], 5),
    ],
)
def test_errors_are_one_line_with_an_exit_code(command, arguments, code):
    """Guards against a stack trace or a page of usage instead of a one-line error."""
    found, _, err = command(*arguments)
    assert found == code
    assert err.count("\n") == (0 if code == 0 else 1)


def test_every_kind_has_an_exit_code():
    """Guards against an error kind without an exit code, or with a wrong one."""
    codes = {kind: exit_code(Failure(kind=kind)) for kind in ErrorKind}
    assert codes[ErrorKind.SHED] == 3
    assert codes[ErrorKind.ACCEPTANCE_UNKNOWN] == 4
    assert codes[ErrorKind.UNREACHABLE] == 5
    assert codes[ErrorKind.INVALID_SETTINGS] == 2


def test_misspelled_flag_has_no_effect(command, token_file):
    """Guards against a command that acts before all flags are parsed."""

    async def steps(cell):
        line = ["run", "cancel", "s.1", f"--server={cell.url}", "--jsn"]
        found = await asyncio.to_thread(command, *line, f"--token_file={token_file}")
        assert (found[0], cell.received) == (2, [])

    in_cell(steps)


def test_documents_are_applied_and_read(command, token_file, tmp_path):
    """Guards against a text changed on the way or replaced without its revision."""
    changed = tmp_path / "changed.yaml"
    text = (EXAMPLES / "anniversary-pages.yaml").read_text()
    changed.write_text(text.replace("tasks: 16", "tasks: 17"))

    async def steps(cell):
        async def call(*line):
            flags = [f"--server={cell.url}", f"--token_file={token_file}"]
            return await asyncio.to_thread(command, *line, *flags)

        assert (await call("service", "apply", FILE))[0] == 0
        code, _, err = await call("service", "apply", str(changed))
        assert (code, "revision_mismatch" in err) == (3, True)
        _, out, _ = await call("service", "diff", str(changed))
        assert "-  tasks: 16" in out and "+  tasks: 17" in out
        shown = await call("service", "show", "anniversary-pages", "--json")
        view = json.loads(shown[1])
        assert view["text"] == text
        revision = f"--revision={view['revision']}"
        assert (await call("service", "apply", str(changed), revision))[0] == 0
        shown = await call("service", "show", "anniversary-pages")
        assert shown[1].endswith(changed.read_text())
        _, out, _ = await call("service", "history", "anniversary-pages")
        assert out.count("applied by archive") == 2

    in_cell(steps)


def test_runs_are_submitted_and_followed(command, token_file):
    """Guards against a run command with a wrong run, exit code or grace period."""

    async def steps(cell):
        async def call(*line):
            flags = [f"--server={cell.url}", f"--token_file={token_file}"]
            return await asyncio.to_thread(command, *line, *flags)

        code, out, _ = await call("run", "submit", "anniversary-pages", "--key=k1")
        assert (code, out) == (0, "s.1 is running (key k1)\n")
        assert cell.received[-1].key == "k1"
        code, out, _ = await call("run", "status", "s.1", "--json")
        assert (code, json.loads(out)["run"]) == (0, "s.1")
        assert (await call("run", "wait", "s.1", "--timeout=0s"))[0] == 4
        assert (await call("run", "stop", "s.1", "--grace=2min"))[0] == 0
        assert cell.received[-1].grace_s == 120
        assert (await call("run", "cancel", "absent"))[0] == 3
        _, out, _ = await call("cluster", "status")
        assert out.startswith("brescia-a-e1 (brescia-a, nordovest): ready")

    in_cell(steps)


def test_closed_pipe_gives_no_stack_trace():
    """Guards against a stack trace when the reader of a pipe, such as `head`, exits."""
    reading, writing = os.pipe()
    os.close(reading)
    try:
        found = subprocess.run(
            [sys.executable, "-m", "wasabipaddle", "version"],
            stdout=writing,
            stderr=subprocess.PIPE,
            check=False,
        )
    finally:
        os.close(writing)
    assert (found.returncode, found.stderr) == (141, b"")


def test_timeline_page_replaces_text_output(command, tmp_path, monkeypatch):
    """Guards against events on the terminal although a page was requested."""
    event = Event(
        time=HybridTime(wall_ms=1, counter=0),
        process="e1",
        kind=EventKind.RUN_ENDED,
        run="s.1",
    )
    found = Timeline(processes=("e1",), missing=(), events=(event,))

    async def call(self, method, path, **options):
        body = json.loads(encode(found))
        return ApiResponse(status=200, headers={}, body=body)

    monkeypatch.setattr(ApiClient, "call", call)
    line = ["timeline", "--server=http://127.0.0.1:1"]
    page = tmp_path / "run.html"
    code, out, _ = command(*line, f"--html={page}")
    assert (code, out) == (0, f"{page}: 1 events\n")
    assert "run_ended" in page.read_text()
    code, out, _ = command(*line)
    assert (code, out.count("run_ended")) == (0, 1)
    code, _, err = command(*line, f"--html={tmp_path}")
    assert (code, "cannot be written" in err) == (2, True)


def test_stopped_process_is_shown_as_down(command, monkeypatch):
    """Guards against a stopped process that is shown as leaving forever.

    A process that stops while draining keeps the draining mark in the member list.
    """
    member = {"data_centre": "a", "revision": 1, "load": 0.0, "led": []}
    states = {"p1": (True, False), "p2": (True, True), "p3": (False, True)}
    body = {"process": "p1", "data_centre": "a", "region": "r", "revision": 1}
    body |= {"ready": True, "reasons": [], "members_error": ""}
    body["members"] = [
        member | {"name": name, "live": live, "draining": draining}
        for name, (live, draining) in states.items()
    ]

    async def call(self, method, path, **options):
        return ApiResponse(status=200, headers={}, body=body)

    monkeypatch.setattr(ApiClient, "call", call)
    _, out, _ = command("cluster", "status", "--server=http://127.0.0.1:1")
    shown = [line.split()[2] for line in out.splitlines()[2:]]
    assert shown == ["live", "leaves", "down"]
