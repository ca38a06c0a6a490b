"""Operating-system processes of the cell in a soak test."""

import asyncio
import signal

import yaml

from wasabipaddle.demo.processes import spawn_process
from wasabipaddle.soak.keys import REVOCATION_S
from wasabipaddle.soak.platform import CALLERS, CELL, HOST, STORE
from wasabipaddle.standins.listener import reserve_port

__all__ = ["CellProcesses", "callers_address"]

READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
RESTART_DELAY_S = 0.5
GRACE_PERIOD_S = 6.0
MAINTENANCE_S = 1.0
ORDER_PAUSE_S = 1.0
KILL_MARGIN_S = 2.0


class CellProcesses:
    """Starts, stops, pauses, kills and restarts the processes of a cell.

    A process that exits is restarted, as on the platform.

    Parameters
    ----------
    platform : SoakPlatform
        Addresses of the stand-ins.
    directory : pathlib.Path
        Settings and logs of the processes.
    ledger : SoakLedger
        Records processes that exit unexpectedly or too late.

    Attributes
    ----------
    last_signal_s : dict of str to float
        Time of the last signal to each process, except reload signals.
    stopping : dict of str to float
        Time of the stop signal of each process that is stopping.
    killed : set of str
        Processes that were killed and have not been restarted yet.
    retired : set of str
        Processes that are not restarted, since others replace them.
    """

    def __init__(self, *, platform, directory, ledger):
        self.platform = platform
        self.directory = directory
        self.ledger = ledger
        self.children = {}
        self.last_signal_s = {}
        self.stopping = {}
        self.killed = set()
        self.retired = set()
        self.names_used = len(platform.processes)
        self.port_holders = []
        for name in platform.processes:
            self._reserve_ports(name)
        self.closing = False
        self.tasks = set()

    async def start(self, caller):
        """Start all processes and wait until all of them are ready."""
        for name in self.platform.processes:
            self._write_settings(name)
            await self._start(name)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._all_ready(caller):
                await asyncio.sleep(POLL_INTERVAL_S)

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
                "machines": platform.machines_address,
            },
            "bounds": {
                "lease_max": "6s",
                "stop": "300ms",
                "grace": f"{GRACE_PERIOD_S:g}s",
                "maintenance": f"{MAINTENANCE_S:g}s",
                "order_pause": f"{ORDER_PAUSE_S:g}s",
            },
        }
        if platform.keys.names and platform.keys.removal_limited:
            settings["bounds"]["revocation"] = f"{REVOCATION_S:g}s"
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))

    async def _start(self, name):
        self.stopping.pop(name, None)
        child = await spawn_process(
            self.directory / f"{name}.log",
            "cell",
            self.directory / f"{name}.yaml",
        )
        self.children[name] = child
        task = asyncio.get_running_loop().create_task(
            self._restart_after_exit(name, child)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _restart_after_exit(self, name, child):
        """Wait until a process exits and start it again."""
        code = await child.wait()
        if self.closing or name in self.retired:
            return
        if name not in self.killed and name not in self.stopping:
            self.ledger.add_violation(
                "process", name, f"exited unexpectedly with code {code}"
            )
        self.killed.discard(name)
        await asyncio.sleep(RESTART_DELAY_S)
        if not self.closing and name not in self.retired:
            await self._start(name)

    def _signal(self, name, number):
        self.last_signal_s[name] = self.ledger.now()
        child = self.children[name]
        if child.returncode is None:
            child.send_signal(number)

    def kill(self, name):
        """Send SIGKILL to a process."""
        self.killed.add(name)
        self._signal(name, signal.SIGKILL)

    def terminate(self, name):
        """Send SIGTERM to a process, which begins its graceful stop."""
        self.stopping[name] = self.ledger.now()
        self._signal(name, signal.SIGTERM)

    async def pause(self, name, seconds):
        """Suspend a process for some seconds."""
        child = self.children[name]
        self._signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if self.children[name] is child:
            self._signal(name, signal.SIGCONT)

    def reload(self, name):
        """Send SIGHUP to a process, which reloads its settings."""
        child = self.children[name]
        if child.returncode is None:
            child.send_signal(signal.SIGHUP)

    async def replace(self, name):
        """Stop a process for good and start one with a name that was not used before.

        The new process starts once the old one has exited, as on the platform. The old
        name stays in `stopping`, so that calls which its exit cut are still judged.
        """
        self.retired.add(name)
        child = self.children[name]
        self.terminate(name)
        await child.wait()
        self.platform.processes.remove(name)
        self.names_used += 1
        new_name = f"p{self.names_used - 1}"
        await self._add(new_name)
        return new_name

    def _reserve_ports(self, name):
        """Reserve the ports on which a process will listen."""
        platform = self.platform
        for ports in (
            platform.internal_ports,
            platform.caller_ports,
            platform.readiness_ports,
        ):
            self.port_holders.append(reserve_port(HOST))
            ports[name] = self.port_holders[-1].getsockname()[1]

    async def _add(self, name):
        platform = self.platform
        self._reserve_ports(name)
        await platform.open_addresses(name)
        self._write_settings(name)
        await self._start(name)
        self.last_signal_s[name] = self.ledger.now()
        platform.processes.append(name)

    async def enforce_grace_period(self):
        """Kill processes that exceed their grace period, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            for name, since_s in list(self.stopping.items()):
                late = self.ledger.now() - since_s > GRACE_PERIOD_S + KILL_MARGIN_S
                if late and self.children[name].returncode is None:
                    self.ledger.add_violation(
                        "stop", name, "did not exit within its grace period"
                    )
                    self.kill(name)

    async def close(self):
        """Kill all processes and wait for their exit."""
        self.closing = True
        for child in self.children.values():
            if child.returncode is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children.values():
            await child.wait()
        for holder in self.port_holders:
            holder.close()


def callers_address(platform, name):
    """Return the address at which callers reach a process."""
    return platform.addresses[name, CALLERS]
