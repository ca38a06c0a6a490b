"""Processes of the cell under soak, started and signalled from outside."""

import asyncio
import signal

import yaml

from wasabipaddle.demo.processes import spawn_process
from wasabipaddle.soak.platform import CALLERS, CELL, HOST, STORE

__all__ = ["CellProcesses", "callers_address"]

READY_S = 20.0
POLL_S = 0.05
RESTART_S = 0.5
GRACE_S = 6.0
STOP_S = 2.0


class CellProcesses:
    """Starts, stops, pauses, kills and restarts the processes of a cell.

    A process that ends is started again, as the platform does.

    Parameters
    ----------
    platform : SoakPlatform
        Addresses of the stand-ins.
    directory : pathlib.Path
        Settings and logs of the processes.
    ledger : SoakLedger
        Notes processes that end by themselves.

    Attributes
    ----------
    disturbed_s : dict of str to float
        Time of the last signal to each process.
    leaving : dict of str to float
        Processes that were told to end, and when.
    """

    def __init__(self, *, platform, directory, ledger):
        self.platform = platform
        self.directory = directory
        self.ledger = ledger
        self.children = {}
        self.disturbed_s = {}
        self.leaving = {}
        self.killed = set()
        self.closing = False
        self.tasks = set()

    async def start(self, caller):
        """Start all processes and wait until they take callers."""
        for name in self.platform.processes:
            self._write_settings(name)
            await self._start(name)
        async with asyncio.timeout(READY_S):
            while not await self._all_ready(caller):
                await asyncio.sleep(POLL_S)

    async def _all_ready(self, caller):
        ready = [
            await caller.is_ready(f"{HOST}:{self._readiness_port(name)}")
            for name in self.platform.processes
        ]
        return all(ready)

    def _readiness_port(self, name):
        return self.platform.readiness_ports[name]

    def _write_settings(self, name):
        platform = self.platform
        settings = {
            "process": name,
            "data_centre": "a",
            "region": "region",
            "callers": f"{HOST}:{platform.caller_ports[name]}",
            "readiness": f"{HOST}:{self._readiness_port(name)}",
            "internal": f"{HOST}:{platform.internal_ports[name]}",
            "advertised": platform.addresses[name, CELL],
            "platform": {
                "store": platform.addresses[name, STORE],
                "eligibility": platform.addresses[name, "advice"],
            },
            "bounds": {"lease_max": "6s", "stop": "300ms", "grace": f"{GRACE_S:g}s"},
        }
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))

    async def _start(self, name):
        self.leaving.pop(name, None)
        child = await spawn_process(
            self.directory / f"{name}.log",
            "cell",
            self.directory / f"{name}.yaml",
        )
        self.children[name] = child
        task = asyncio.get_running_loop().create_task(self._restart(name, child))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _restart(self, name, child):
        code = await child.wait()
        if self.closing:
            return
        if name not in self.killed and name not in self.leaving:
            self.ledger.broken("process", name, f"ended by itself with code {code}")
        self.killed.discard(name)
        await asyncio.sleep(RESTART_S)
        await self._start(name)

    def _signal(self, name, number):
        self.disturbed_s[name] = self.ledger.now()
        child = self.children[name]
        if child.returncode is None:
            child.send_signal(number)

    def kill(self, name):
        """End a process at once."""
        self.killed.add(name)
        self._signal(name, signal.SIGKILL)

    def terminate(self, name):
        """Tell a process to end."""
        self.leaving[name] = self.ledger.now()
        self._signal(name, signal.SIGTERM)

    async def pause(self, name, seconds):
        """Suspend a process for a time."""
        child = self.children[name]
        self._signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if self.children[name] is child:
            self._signal(name, signal.SIGCONT)

    def reload(self, name):
        """Tell a process that its settings may have changed."""
        child = self.children[name]
        if child.returncode is None:
            child.send_signal(signal.SIGHUP)

    async def force_ends(self):
        """Kill the processes that were told to end and take too long, for ever."""
        while True:
            await asyncio.sleep(POLL_S)
            for name, since_s in list(self.leaving.items()):
                late = self.ledger.now() - since_s > GRACE_S + STOP_S
                if late and self.children[name].returncode is None:
                    self.ledger.broken("stop", name, "did not end within its grace")
                    self.kill(name)

    async def close(self):
        """End all processes."""
        self.closing = True
        for child in self.children.values():
            if child.returncode is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children.values():
            await child.wait()


def callers_address(platform, name):
    """Return the address at which callers reach a process."""
    return platform.addresses[name, CALLERS]
