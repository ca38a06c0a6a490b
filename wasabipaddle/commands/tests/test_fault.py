"""Tests of the command `fault` against running stand-ins."""

import asyncio

import pytest

from wasabipaddle.commands import main
from wasabipaddle.interfaces import VmEntry, VmRole, VmStatus
from wasabipaddle.standins.host import StandinHost
from wasabipaddle.standins.settings import (
    LinkStandin,
    Place,
    StandinSettings,
    StoreStandin,
    VmListStandin,
)

VM = VmEntry(
    vm="e1",
    role=VmRole.ENTRY,
    status=VmStatus.LIVE,
    data_centre="a",
    rack="r",
    host="127.0.0.1",
    port=1,
)
PLATFORM = StandinSettings(
    control_port=0, store=StoreStandin(port=0), vm_list=VmListStandin(port=0, vms=(VM,))
)
LINK = StandinSettings(
    control_port=0,
    link=LinkStandin(
        places=(Place(name="a", region="n"), Place(name="b", region="s")), routes=()
    ),
)


@pytest.fixture
def command(capsys, monkeypatch):
    """Return a function that runs a command and returns (code, stdout, stderr)."""
    monkeypatch.delenv("WASABIPADDLE_CONTROL", raising=False)

    def run(*arguments):
        code = 0
        try:
            main(list(arguments))
        except SystemExit as error:
            code = error.code
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run


def with_standins(command, steps):
    """Run the coroutine function `steps` with two stand-in hosts."""

    async def run():
        hosts = [StandinHost(settings=s) for s in (PLATFORM, LINK)]
        for host in hosts:
            await host.start()
        urls = ",".join(f"http://127.0.0.1:{h.control.port}" for h in hosts)

        async def call(*line):
            return await asyncio.to_thread(command, "fault", *line, f"--control={urls}")

        try:
            await steps(call, *hosts)
        finally:
            for host in hosts:
                await host.close()

    asyncio.run(run())


def test_faults_reach_their_target(command):
    """Guards against a fault that is reported as changed but is not injected."""

    async def steps(call, platform, link):
        assert (await call("store", "down=true", "extra_latency_s=2"))[0] == 0
        faults = platform.targets["store"].faults
        assert (faults.down, faults.extra_latency_s) == (True, 2.0)
        assert (await call("store", "down=false"))[0] == 0
        assert not faults.down
        assert (await call("link", "cut_regions=n,s"))[0] == 0
        assert not link.link.passes("a", "b")
        assert (await call("link", "heal=true"))[0] == 0
        assert link.link.passes("a", "b")
        assert (await call("e1", "status=leaving"))[0] == 0
        assert platform.targets["vm_list"].entries["e1"].status is VmStatus.LEAVING

    with_standins(command, steps)


@pytest.mark.parametrize(
    ("line", "code", "text"),
    [
        (("store", "dwon=true"), 3, "no fault dwon"),
        (("store", "down=perhaps"), 3, "fault down takes a bool"),
        (("w9", "gone=true"), 3, "no stand-in w9"),
        (("w9", "status=gone"), 3, "no VM w9 in the list of VMs"),
        (("link", "cut=c"), 3, "no place c; there are a, b"),
        (("link", "cut_regions=n"), 3, "cut_regions takes two names"),
        (("link", "down=true"), 2, "the link takes cut="),
        (("e1", "status=dead"), 2, "status is one of live, leaving, gone"),
        (("store", "down"), 2, "not KEY=VALUE: down"),
        (("store",), 2, "give at least one change"),
    ],
)
def test_wrong_faults_are_explained(command, line, code, text):
    """Guards against an error that does not say which part of the command is wrong."""

    async def steps(call, platform, link):
        found, out, err = await call(*line)
        assert (found, out) == (code, "")
        assert text in err and err.count("\n") == 1

    with_standins(command, steps)


def test_control_address_is_required(command):
    """Guards against a stack trace if the control URL is missing or unreachable."""
    code, _, err = command("fault", "store", "down=true")
    assert (code, "WASABIPADDLE_CONTROL" in err) == (2, True)
    code, _, err = command(
        "fault", "store", "down=true", "--control=http://127.0.0.1:1"
    )
    assert (code, err.count("\n")) == (5, 1)


@pytest.mark.parametrize("offset", ["-1", "x", "1.5"])
def test_port_offset_is_a_whole_number(command, offset):
    """Guards against processes that are started with invalid port numbers."""
    for line in (["demo"], ["playground", "examples/lapidea"]):
        code, _, err = command(*line, f"--port_offset={offset}")
        assert (code, "--port_offset must be a whole number" in err) == (2, True)
