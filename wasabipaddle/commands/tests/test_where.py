"""Tests of the command `where`, in part against real processes of a cell."""

import asyncio
import json
import subprocess
import sys

import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from wasabipaddle.commands.action import UsageError
from wasabipaddle.commands.where import MAX_FILE_BYTES, read_question
from wasabipaddle.commands.where_text import as_text
from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError
from wasabipaddle.ingress import RequestLimits
from wasabipaddle.jobs import JobPhase, JobSpec, StepSpec
from wasabipaddle.messages import encode
from wasabipaddle.messages.placement import (
    AskWhere,
    Candidate,
    Exclusion,
    PlacementReply,
    StepPlacement,
    WaitReason,
    WhereReply,
    WorkspaceUse,
)
from wasabipaddle.platform.client import JobCaller, encode_spec
from wasabipaddle.soak.cell import CellProcesses, callers_address
from wasabipaddle.soak.keys import SoakKeys
from wasabipaddle.soak.ledger import JobRecord, SoakLedger
from wasabipaddle.soak.platform import HOST, SoakPlatform
from wasabipaddle.soak.queues import QUEUES
from wasabipaddle.standins.runners import TaskBehaviour
from wasabipaddle.transport import HttpTransport

JOB = "00000000000000aa"
KEY = "key-of-w1"
# The only runner of the rack is the third one.
SPEC = JobSpec(
    payload="p",
    steps=(StepSpec(count=1, cpu=1000, estimate_s=1.0, preferred_rack="rack-1"),),
)
BODY = msgspec.json.encode(encode_spec(SPEC))
REQUEST = (
    f"POST /urgent/{JOB} HTTP/1.1\r\nHost: u.example:80\r\nKey: {KEY}\r\n\r\n"
).encode() + BODY
ANSWER_TIMEOUT_S = 20.0
POLL_S = 1.1


def run_where(file, process, *options):
    """Run the command and return the finished process."""
    command = [sys.executable, "-m", "wasabipaddle", "where", str(file)]
    return subprocess.run(
        [*command, "--process", process, *options], capture_output=True, text=True
    )


def test_only_host_path_and_body_of_a_request_are_sent():
    """Guards against a key in a file that leaves the machine of the operator."""
    question = read_question(REQUEST, queue="", workspace="w1")
    assert (question.host, question.path) == ("u.example", f"/urgent/{JOB}")
    assert (question.body, question.workspace) == (BODY, "w1")
    assert KEY not in repr(question)
    absolute = b"POST http://u.example:80/urgent/ HTTP/1.1\n\n{}"
    question = read_question(absolute, queue="", workspace="")
    assert (question.host, question.path) == ("u.example", "/urgent/")
    assert read_question(BODY, queue="q", workspace="").body == BODY


@pytest.mark.parametrize(
    "data",
    [
        REQUEST,
        b"\r\n" + REQUEST.replace(b"\r\n", b"\n"),
        REQUEST.replace(b"HTTP/1.1", b"HTTP/2"),
        REQUEST.partition(b"\r\n")[2],
    ],
)
def test_request_in_place_of_a_body_is_a_usage_error(tmp_path, data):
    """Guards against a key in a head that is sent as a part of the body."""
    with pytest.raises(UsageError):
        read_question(data, queue="q", workspace="")
    file = tmp_path / "job"
    file.write_bytes(data)
    found = run_where(file, f"{HOST}:1", "--queue", "q")
    assert found.returncode == 2
    assert KEY not in found.stdout + found.stderr


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        (BODY, ErrorKind.INVALID_REQUEST),
        (b"", ErrorKind.INVALID_REQUEST),
        (b"POST /urgent/ HTTP/1.1", ErrorKind.INVALID_REQUEST),
        (b"POST http://[ HTTP/1.1\n\n", ErrorKind.INVALID_REQUEST),
        (b"\xff\x00\n\n", ErrorKind.INVALID_REQUEST),
        (REQUEST.replace(b"POST", b"GET"), ErrorKind.METHOD_NOT_ALLOWED),
    ],
)
def test_file_that_submits_no_job_is_refused(data, kind):
    """Guards against a stack trace for a file that is not what was meant."""
    with pytest.raises(WasabipaddleError) as raised:
        read_question(data, queue="", workspace="")
    assert raised.value.failure.kind is kind


def test_largest_file_reaches_the_process():
    """Guards against a file that the command takes and the listener cuts off."""
    question = AskWhere(body=b"x" * MAX_FILE_BYTES, queue="q" * 200)
    assert len(encode(question)) < RequestLimits().max_body_bytes


def test_process_of_an_earlier_version_is_named_as_such(tmp_path):
    """Guards against an upgrade in which the answer looks like an unknown queue."""
    file = tmp_path / "job"
    file.write_bytes(REQUEST)

    async def main():
        app = web.Application()
        app.add_routes(HttpTransport(peers={}).routes())
        async with TestServer(app, host=HOST) as server:
            address = f"{HOST}:{server.port}"
            return await asyncio.to_thread(run_where, file, address)

    found = asyncio.run(main())
    assert found.returncode == 3
    assert "earlier version" in found.stderr


def test_silent_process_is_unreachable(tmp_path):
    """Guards against exit code 4, as if a question could have had an effect."""
    file = tmp_path / "job"
    file.write_bytes(REQUEST)

    async def main():
        async def drop(reader, writer):
            writer.close()

        server = await asyncio.start_server(drop, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            return await asyncio.to_thread(run_where, file, f"{HOST}:{port}")

    assert asyncio.run(main()).returncode == 5


def test_text_shows_refusal_wait_and_candidates():
    """Guards against a readable answer without what decides."""
    step = StepPlacement(
        step=0,
        tasks=3,
        place=4,
        ahead=2,
        level=0,
        in_excess=True,
        share_level=1,
        outlook="in_time",
        starts={"r0": 1},
        waits_for=WaitReason.ROOM,
        start_s=0.0,
        end_s=1.0,
        candidates=(
            Candidate(runner="r0", score=4.0, speed=1.0, free_cpu=1000),
            Candidate(
                runner="r1",
                score=3.0,
                speed=1.0,
                free_cpu=0,
                exclusion=Exclusion.NO_ROOM,
            ),
        ),
        excluded={"no_room": 1},
    )
    reply = WhereReply(
        process="p0",
        leader="p1",
        queue="q",
        pool="pool",
        refusal=Failure(kind=ErrorKind.QUOTA_EXCEEDED, detail="too large"),
        placement=PlacementReply(
            workspace=WorkspaceUse(name="w1"), steps=(step,), later_steps=1
        ),
    )
    text = as_text(reply)
    for part in (
        "refused by p0, quota_exceeded: too large",
        "behind 2 waiting steps",
        "beyond the rate",
        "starts now on r0 (1)",
        "2 tasks wait: no runner that may get work has room",
        "start in 0.0 s, end in about 1.0 s",
        "1 no_room",
        "1 other steps",
    ):
        assert part in text
    known = PlacementReply(phase=JobPhase.RUNNING)
    reply = WhereReply(
        process="p0", leader="p1", queue="q", pool="pool", placement=known
    )
    assert "exists and is running" in as_text(reply)


class RealCell:
    """Two processes of a cell, and three runners of its simulated platform."""

    def __init__(self, directory):
        self.ledger = SoakLedger()
        self.platform = SoakPlatform(
            ledger=self.ledger,
            processes=["p0", "p1"],
            runner_count=3,
            seed=1,
            keys=SoakKeys(names=("w1",)),
        )
        self.processes = CellProcesses(
            platform=self.platform, directory=directory, ledger=self.ledger
        )
        self.caller = JobCaller(wait_s=5.0)
        self.file = directory / "job"
        self.file.write_bytes(REQUEST)

    async def ask(self, process):
        """Run the command until it has an answer, and return that."""
        address = f"{HOST}:{self.platform.internal_ports[process]}"
        options = ("--workspace", "w1", "--json")
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while True:
                found = await asyncio.to_thread(run_where, self.file, address, *options)
                assert KEY not in found.stdout + found.stderr
                if found.returncode == 0:
                    return json.loads(found.stdout)
                await asyncio.sleep(POLL_S)

    async def ask_until(self, process, is_awaited):
        """Ask until the placement in an answer is as awaited, and return it."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not is_awaited(placement := (await self.ask(process))["placement"]):
                await asyncio.sleep(POLL_S)
        return placement

    async def submit(self):
        """Submit the job and return the runner on which its task starts."""
        record = JobRecord(
            id=JOB,
            queue=QUEUES[0],
            spec=SPEC,
            behaviours=(TaskBehaviour(work_s=30.0),),
            workspace="w1",
        )
        self.ledger.jobs[JOB] = record
        address = callers_address(self.platform, "p0")
        result = await self.caller.submit(address, QUEUES[0], JOB, SPEC, key=KEY)
        assert result.status == 200
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not any(self.ledger.running.values()):
                await asyncio.sleep(0.05)
        ((runner, _),) = next(iter(self.ledger.running.values()))
        return runner


def test_answer_of_real_processes_is_where_the_job_then_starts(tmp_path):
    """Guards against an answer that no process or another runner stands for."""

    async def main():
        cell = RealCell(tmp_path)
        await cell.platform.start()
        try:
            await cell.processes.start(cell.caller)
            for process in ("p0", "p1"):
                placement = await cell.ask_until(
                    process, lambda p: p["steps"][0].get("starts")
                )
            runner = await cell.submit()
            (first,) = placement["steps"][0]["starts"]
            assert (first, cell.ledger.starts) == (runner, 1)
            await cell.ask_until("p1", lambda p: p.get("phase") == "running")
        finally:
            await cell.processes.close()
            await cell.caller.close()
            await cell.platform.close()

    asyncio.run(main())
    logs = "".join(path.read_text() for path in tmp_path.glob("*.log"))
    assert "where_asked" in logs
    assert KEY not in logs
