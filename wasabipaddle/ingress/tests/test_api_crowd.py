"""Crowd of clients that misuse the listener of `/v1` of a real entry process."""

import asyncio
import contextlib
import pathlib

import aiohttp
import pytest
import yaml

from wasabipaddle.ingress.limits import DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_MB
from wasabipaddle.ingress.tests.conftest import HOST, CrowdedProcess
from wasabipaddle.standins.listener import reserve_port

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples" / "lapidea"
ENTRY, DATA_CENTRE = "brescia-a-e1", "brescia-a"
SERVICE = "/v1/services/anniversary-pages"
CROWD = 500
BODY_BYTES = 1_000_000
MISSING_BYTES = 64
START_LIMIT_S = 30.0
SEND_LIMIT_S = 30.0
REPLY_LIMIT_S = 30.0
POLL_S = 0.1
STATUS_CREATED = 201


class ApiProcess(CrowdedProcess):
    """Entry process of the example deployment, with the default limits of clients."""

    def __init__(self, *, directory):
        super().__init__(
            name=ENTRY,
            directory=directory,
            memory_mb=DEFAULT_MEMORY_MB,
            descriptors=DEFAULT_DESCRIPTORS,
        )
        self.api = self.addresses["callers"]

    async def start(self, standin_ports):
        """Start the process, whose platform is a stand-in."""
        store_port, vm_list_port = standin_ports
        deployment = yaml.safe_load((EXAMPLES / "deployment.yaml").read_text())
        ports = {
            f"{name}_port": int(self.addresses[listener].rpartition(":")[2])
            for name, listener in (("api", "callers"), ("internal", "internal"))
        }
        entry = {"name": ENTRY, "data_centre": DATA_CENTRE, "host": HOST, **ports}
        deployment["entries"] = [entry]
        deployment["store_url"] = f"http://{HOST}:{store_port}"
        deployment["vm_list_url"] = f"http://{HOST}:{vm_list_port}"
        path = self.directory / "deployment.yaml"
        path.write_text(yaml.safe_dump(deployment))
        settings = self.directory / "settings.yaml"
        settings.write_text((EXAMPLES / "settings.yaml").read_text())
        await self.spawn("serve", settings)

    async def call(self, method, path, **options) -> int:
        """Make a call and return the status, 0 if there is no response."""
        timeout = aiohttp.ClientTimeout(total=REPLY_LIMIT_S)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, f"http://{self.api}{path}", **options
                ) as response,
            ):
                return response.status
        return 0

    async def call_until(self, status, method, path, **options):
        """Repeat a call, as ordinary clients do, until it has a status."""
        async with asyncio.timeout(START_LIMIT_S):
            while await self.call(method, path, **options) != status:
                await asyncio.sleep(POLL_S)


@pytest.fixture
def run_api(tmp_path):
    """Return a function that runs a check with an `ApiProcess`."""

    async def main(check):
        holders = [reserve_port(HOST) for _ in range(3)]
        store, vm_list, control = (h.getsockname()[1] for h in holders)
        parts = {"control_port": control, "store": {"port": store}}
        parts["vm_list"] = {"port": vm_list}
        path = tmp_path / "standin.yaml"
        path.write_text(yaml.safe_dump(parts))
        platform = CrowdedProcess(name="standin", directory=tmp_path)
        process = ApiProcess(directory=tmp_path)
        try:
            await platform.spawn("standin", path)
            await process.start((store, vm_list))
            await process.call_until(200, "GET", "/readyz")
            watching = asyncio.create_task(process.watch_sockets())
            await check(process)
            watching.cancel()
        finally:
            await process.close()
            await platform.close()
            for holder in holders:
                holder.close()

    return lambda check: asyncio.run(main(check))


def test_large_bodies_of_the_api(run_api):
    """Guards against a listener of the API whose clients together hold too much."""
    document = (EXAMPLES / "anniversary-pages.yaml").read_text()
    request_head = (
        f"PUT {SERVICE} HTTP/1.1\r\nHost: h\r\nIf-None-Match: *\r\n"
        f"Content-Length: {BODY_BYTES}\r\n\r\n"
    ).encode()
    body = b"x" * (BODY_BYTES - MISSING_BYTES)

    async def check(process):
        writers = []

        async def send():
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*process.api.split(":"))
                writers.append(writer)
                writer.write(request_head + body)
                await writer.drain()

        senders = [asyncio.create_task(send()) for _ in range(CROWD)]
        await asyncio.wait(senders, timeout=SEND_LIMIT_S)
        headers = {"If-None-Match": "*"}
        await process.call_until(
            STATUS_CREATED, "PUT", SERVICE, data=document, headers=headers
        )
        process.check()
        for sender in senders:
            sender.cancel()
        for writer in writers:
            writer.close()

    run_api(check)
