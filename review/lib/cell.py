"""Processes of the system, started with the command of the deploy file."""

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tomllib
from pathlib import Path

import aiohttp

ROOT = Path(__file__).resolve().parents[2]
PLACEHOLDER = re.compile(r"\{\{([a-z0-9_.]+)(\|json)?\}\}")
BOUNDS = {
    "hold_max_ms": 6000,
    "stop_timeout_ms": 400,
    "grace_s": 6,
    "restore_ms": 600,
    "status_s": 120,
    "remote_slowdown": 1.5,
    "drain_ms": 2500,
    "config_apply_ms": 2500,
    "cancel_ms": 3000,
}


def free_port(host="127.0.0.1"):
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def render(template, fields):
    """Fill in the placeholders of a template for settings."""

    def replace(match):
        value = fields
        for name in match[1].split("."):
            value = value[name]
        return json.dumps(value) if match[2] else str(value)

    return PLACEHOLDER.sub(replace, template)


class Process:
    """One process of the system on a loopback address."""

    def __init__(self, *, record, name, zone, region, store, folder):
        self.record = record
        self.name = name
        host = "127.0.0.1"
        self.front = f"{host}:{free_port()}"
        self.ready = f"{host}:{free_port()}"
        self.control = f"{host}:{free_port()}"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self.command = role["run"].split()
        if self.command[0] == "python3":
            self.command[0] = sys.executable
        fields = {
            "node_name": name,
            "zone": zone,
            "region": region,
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "platform": {"address": store, "ttl_min_ms": 1000},
            "advice": f"{host}:{free_port()}",
            "cloud_api": {"address": f"{host}:{free_port()}"},
            "bounds": BOUNDS,
            "limits": {"cpu_share": 0.537, "cores": 2},
        }
        text = render((ROOT / role["template"]).read_text(), fields)
        # The processes share one machine here, so each needs a port of its own.
        text = re.sub(r"metrics_port: \d+", f"metrics_port: {free_port()}", text)
        self.settings = folder / f"{name}.yaml"
        self.settings.write_text(text)
        self.log_path = folder / f"{name}.log"
        self.child = None

    def add_setting(self, line):
        """Append a line to the settings file."""
        with self.settings.open("a") as file:
            file.write(line + "\n")

    async def start(self):
        """Start the process."""
        env = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["WASABIPADDLE_BOOT"] = str(self.settings)
        with self.log_path.open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.add("process_started", name=self.name, pid=self.child.pid)

    def signal(self, number):
        """Send a signal to the process."""
        self.record.add("signal", name=self.name, signal=signal.Signals(number).name)
        self.child.send_signal(number)

    async def wait_ready(self, timeout_s=30.0):
        """Wait until the readiness probe succeeds."""
        async with aiohttp.ClientSession() as session, asyncio.timeout(timeout_s):
            while True:
                try:
                    async with session.get(f"http://{self.ready}/readiness") as reply:
                        if reply.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.1)

    async def close(self):
        """Kill the process if it is still there, and wait for its end."""
        if self.child is not None and self.child.returncode is None:
            self.child.kill()
        if self.child is not None:
            await self.child.wait()


class Requester:
    """Requester that hands in jobs and asks for their state, with retries."""

    def __init__(self, *, record, host, wait_s=3.0):
        self.record = record
        self.host = host
        self.wait_s = wait_s
        self.session = aiohttp.ClientSession()

    async def call(self, method, address, path, body=None):
        """Make one call; return status (0 for no answer) and decoded body."""
        headers = {"Host": self.host, "Deadline-Ms": str(int(self.wait_s * 1000))}
        timeout = aiohttp.ClientTimeout(total=self.wait_s)
        try:
            async with self.session.request(
                method, f"http://{address}{path}", json=body, headers=headers,
                timeout=timeout,
            ) as reply:
                raw = await reply.read()
                status, answer = reply.status, json.loads(raw) if raw else {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            status, answer = 0, {}
        self.record.add(
            "call", method=method, path=path, to=address, status=status,
            answer=json.dumps(answer),
        )
        return status, answer

    async def submit(self, addresses, path, body, tries=8):
        """Hand in a job, again at the next process after no or a doubtful answer."""
        for n in range(tries):
            status, _ = await self.call(
                "POST", addresses[n % len(addresses)], path, body
            )
            if 200 <= status < 300:
                return True
            if status in (400, 404, 413):
                return False
            await asyncio.sleep(0.3)
        return False

    async def close(self):
        """Close the connections."""
        await self.session.close()


def configuration(*, version, host, prefix, service, services=(), **route):
    """Return the stored form of a config with one route, and of its services."""
    row = {
        "name": "r-1", "host": host, "prefix": prefix, "kind": "unsafe",
        "timeout_ms": 3000, "target_duration_ms": 500, "priority": 0,
        "service": service, "max_attempts": 4, "stretch": 2.0, **route,
    }
    body = {
        "version": version,
        "routes": [row],
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 64,
             "protocol": "h1", "tls": False, "enforces_capacity": False,
             "spare": False}
            for name in services or (service,)
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }
    return json.dumps(body).encode()


def leader(store):
    """Return the process that holds the system's leader key, as the platform sees it.

    Empty if there is none. Used only to choose the process that is struck.
    """
    import base64

    for key, item in store.items.items():
        if key.endswith("/leader"):
            return json.loads(base64.b64decode(item["value"]))["process"]
    return ""
