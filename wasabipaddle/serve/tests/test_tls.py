"""Tests of TLS on the public and internal listener, with processes on loopback."""

import asyncio
import contextlib
import pathlib
import socket
import ssl
import sys

import aiohttp
import pytest
import trustme
import yaml

HOST = "127.0.0.1"
ENTRIES = ("brescia-a-e1", "como-b-e1")
TOKENS = {"archive": "archive-token-0001", "memorial": "memorial-token-001"}
EXAMPLES = pathlib.Path(__file__).parents[3] / "examples" / "lapidea"
PAGES = "/v1/services/anniversary-pages"
READY_TIMEOUT_S = 30.0


def free_ports(count):
    """Return `count` unused ports."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for opened in sockets:
            opened.bind((HOST, 0))
        return [opened.getsockname()[1] for opened in sockets]


class Cell:
    """Two entry processes with TLS, and a process with stand-ins of the platform."""

    def __init__(self, directory):
        self.directory = directory
        self.authority = trustme.CA()
        self.authority.cert_pem.write_to_path(directory / "authority.pem")
        self.issue_certificate()
        ports = free_ports(7)
        self.api_ports, self.internal_ports = ports[:2], ports[2:4]
        self.store_port, self.vm_list_port, self.control_port = ports[4:]
        self.children = []

    def issue_certificate(self):
        """Write a new certificate and key for both processes."""
        issued = self.authority.issue_cert(HOST)
        issued.private_key_pem.write_to_path(self.directory / "key.pem")
        issued.cert_chain_pems[0].write_to_path(self.directory / "certificate.pem")

    def write(self):
        """Write the settings of all processes."""
        deployment = yaml.safe_load((EXAMPLES / "deployment.yaml").read_text())
        deployment["entries"] = [
            {
                "name": name,
                "data_centre": name.removesuffix("-e1"),
                "host": HOST,
                "api_port": self.api_ports[i],
                "internal_port": self.internal_ports[i],
            }
            for i, name in enumerate(ENTRIES)
        ]
        deployment["store_url"] = f"http://{HOST}:{self.store_port}"
        deployment["vm_list_url"] = f"http://{HOST}:{self.vm_list_port}"
        settings = yaml.safe_load((EXAMPLES / "settings.yaml").read_text())
        tls = {n: str(self.directory / f"{n}.pem") for n in ("certificate", "key")}
        tls["authority"] = str(self.directory / "authority.pem")
        settings["api"]["tls"] = tls
        settings["api"]["tokens"] = [
            {"team": team, "token": token} for team, token in TOKENS.items()
        ]
        standin = {
            "control_port": self.control_port,
            "store": {"port": self.store_port},
            "vm_list": {"port": self.vm_list_port},
        }
        files = (("deployment", deployment), ("settings", settings))
        for name, data in (*files, ("standin", standin)):
            path = self.directory / f"{name}.yaml"
            path.write_text(yaml.safe_dump(data))

    async def start(self):
        """Start the processes and wait until both are ready."""
        self.write()
        await self.spawn("standin", self.directory / "standin.yaml")
        for name in ENTRIES:
            await self.spawn(
                "serve", self.directory / "settings.yaml", "--process", name
            )
        async with asyncio.timeout(READY_TIMEOUT_S):
            for port in self.api_ports:
                while not await self.is_ready(port):
                    await asyncio.sleep(0.1)

    async def is_ready(self, port):
        try:
            return (await self.call(port, "GET", "/readyz"))[0] == 200
        except aiohttp.ClientError:
            return False

    async def spawn(self, *arguments):
        with open(self.directory / "log", "ab") as log:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "wasabipaddle"),
                *(str(a) for a in arguments),
                stdout=log,
                stderr=log,
            )
        self.children.append(child)

    async def stop(self):
        for child in self.children:
            with contextlib.suppress(ProcessLookupError):
                child.kill()
            await child.wait()

    def client(self, *, certificate=False, authority=None):
        """Return the TLS context of a client that trusts the authority of the cell.

        With `certificate`, the client presents a certificate that is signed by
        `authority`, by default the authority of the cell.
        """
        context = ssl.create_default_context()
        self.authority.configure_trust(context)
        if certificate:
            (authority or self.authority).issue_cert(HOST).configure_cert(context)
        return context

    async def call(
        self, port, method, path, *, team=None, scheme="https", tls=None, **options
    ):
        """Make an HTTP call and return status, body and headers of the response."""
        headers = options.pop("headers", {})
        if team is not None:
            headers["Authorization"] = f"Bearer {TOKENS[team]}"
        url = f"{scheme}://{HOST}:{port}{path}"
        context = (tls or self.client()) if scheme == "https" else True
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method, url, ssl=context, headers=headers, **options
            ) as response,
        ):
            return response.status, await response.read(), response.headers

    def served_certificate(self, port):
        """Return the certificate that a listener presents, as PEM text."""
        return ssl.get_server_certificate((HOST, port))


@pytest.fixture
def run_cell(tmp_path):
    def run(scenario):
        async def main():
            cell = Cell(tmp_path)
            try:
                await cell.start()
                await scenario(cell)
            finally:
                await cell.stop()

        asyncio.run(main())

    return run


async def members(cell):
    """Return the members of the cell as the first process reports them."""
    _, body, _ = await cell.call(
        cell.api_ports[0], "GET", "/v1/cluster", team="archive"
    )
    return yaml.safe_load(body)["members"]


async def wait_for(condition, *, timeout_s=READY_TIMEOUT_S):
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(0.2)


def test_listeners_and_calls_between_processes_use_tls(run_cell):
    """Guards against untrusted access, old certificates and edits by other teams."""

    async def scenario(cell):
        async def all_live():
            return sum(m["live"] for m in await members(cell)) == len(ENTRIES)

        await wait_for(all_live)
        await check_refusals(cell)
        await check_teams(cell)
        before = cell.served_certificate(cell.api_ports[0])
        cell.issue_certificate()

        async def reloaded():
            return (
                await asyncio.to_thread(cell.served_certificate, cell.api_ports[0])
                != before
            )

        await wait_for(reloaded)
        await wait_for(all_live)

    run_cell(scenario)


async def check_refusals(cell):
    """Check that plain HTTP, and peers without a trusted certificate, are refused."""
    internal, path = cell.internal_ports[0], "/internal/v1/Heartbeat"
    for port in (cell.api_ports[0], internal):
        with pytest.raises(aiohttp.ClientError):
            await cell.call(port, "POST", path, scheme="http")
    untrusted = cell.client(certificate=True, authority=trustme.CA())
    for context in (cell.client(), untrusted):
        with pytest.raises((aiohttp.ClientError, ssl.SSLError)):
            await cell.call(internal, "POST", path, tls=context)
    trusted = cell.client(certificate=True)
    status, _, _ = await cell.call(internal, "POST", path, tls=trusted)
    assert status == 400


async def check_teams(cell):
    """Check that a team can edit only its own documents."""
    text = (EXAMPLES / "anniversary-pages.yaml").read_text()
    new = {"If-None-Match": "*"}
    responses = [
        (
            await cell.call(
                cell.api_ports[0], "PUT", PAGES, team=t, data=text, headers=dict(new)
            )
        )
        for t in ("memorial", "archive")
    ]
    assert [r[0] for r in responses] == [403, 201]
