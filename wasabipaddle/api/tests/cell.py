"""HTTP interface of one process on loopback, with a fake handler of bus messages."""

import asyncio
import contextlib
import pathlib

import aiohttp
import attrs
from result import Err, Ok

from wasabipaddle.api.tests.fakes import FakeStore
from wasabipaddle.clock import LoopClock
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.kernel import Context, Mailbox
from wasabipaddle.messages import (
    CancelRun,
    ListRuns,
    QueryRun,
    RoutedAnswer,
    RouteRequest,
    RunPage,
    RunState,
    RunView,
    StopRun,
    SubmitRun,
    WaitRun,
)
from wasabipaddle.serve.api import ApiPlugin
from wasabipaddle.settings import ApiSettings, CallerToken, OperatorToken, load_settings

__all__ = ["ARCHIVE", "EXAMPLES", "Cell", "MEMORIAL", "open_cell"]

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples" / "lapidea"
ARCHIVE = {"Authorization": "Bearer archive-token-0001"}
MEMORIAL = {"Authorization": "Bearer memorial-token-001"}
TOKENS = (
    OperatorToken(team="archive", token="archive-token-0001"),
    OperatorToken(team="memorial", token="memorial-token-001"),
    OperatorToken(team="composition", token="composition-token"),
)


class _Platform:
    def __init__(self):
        self.store = FakeStore()

    def routes(self):
        """Return no routes."""
        return []


@attrs.define(kw_only=True)
class Cell:
    """Running HTTP interface with a fake handler of its messages on the bus.

    Attributes
    ----------
    received : list
        Messages that the fake handler received.
    chunks : list
        Parts of the answer to a request: bytes, an exception to raise, or None to wait
        for `release`.
    length : int
        Announced length of the answer.
    """

    plugin: ApiPlugin
    session: aiohttp.ClientSession
    url: str
    store: FakeStore
    received: list = attrs.field(factory=list)
    chunks: list = attrs.field(factory=lambda: [b"ans", b"wer"])
    length: int = 6
    release: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def call(self, method, path, **options):
        """Make an HTTP call and return status, headers and body, decoded if JSON."""
        async with self.session.request(method, self.url + path, **options) as response:
            body = await response.read()
            is_json = response.content_type == "application/json"
            return (
                response.status,
                response.headers,
                (await response.json() if is_json else body),
            )

    def reply(self, message):
        """Return the reply of the fake handler to a message."""
        if isinstance(message, RouteRequest):
            return Ok(
                RoutedAnswer(
                    request=message.request,
                    length=self.length,
                    digest="0" * 16,
                    chunks=self._stream(),
                )
            )
        if isinstance(message, ListRuns):
            return Ok(RunPage(runs=(run_view(), run_view(team="memorial"))))
        if getattr(message, "run", "") == "absent":
            return Err(Failure(kind=ErrorKind.NOT_FOUND))
        return Ok(run_view())

    async def _stream(self):
        for chunk in self.chunks:
            if isinstance(chunk, Exception):
                raise chunk
            if chunk is None:
                await self.release.wait()
            else:
                yield chunk


def run_view(team="archive"):
    """Return the view of a running run of a team."""
    return RunView(run="s.1", service="pages", team=team, state=RunState.RUNNING)


async def _handle_messages(mailbox, cell):
    while True:
        envelope = await mailbox.receive()
        cell.received.append(envelope.message)
        if not isinstance(envelope.message, WaitRun):
            envelope.answer(cell.reply(envelope.message))


@contextlib.asynccontextmanager
async def open_cell(*, tokens=TOKENS, callers=(), documents=True, **api_settings):
    """Run the HTTP interface with two of the example documents applied.

    A `WaitRun` message gets no reply. `api_settings` are further `ApiSettings`.
    """
    settings = load_settings(EXAMPLES / "settings.yaml").unwrap()
    api = ApiSettings(
        tokens=tokens,
        callers=tuple(
            CallerToken(caller=c, token=f"caller-token-{c}") for c in callers
        ),
        **api_settings,
    )
    peer = attrs.evolve(settings.peer, api_port=0)
    deployment = attrs.evolve(settings.deployment, entries=(peer,))
    settings = attrs.evolve(settings, api=api, deployment=deployment)
    clock = LoopClock()
    context = Context.create(settings=settings, clock=clock, process="p", seed=1)
    platform = context.plugins["platform"] = _Platform()
    plugin = ApiPlugin(context=context)
    await plugin.start()
    if documents:
        for i, name in enumerate(("manifesti", "anniversary-pages")):
            text = (EXAMPLES / f"{name}.yaml").read_text()
            plugin.state.catalogue.apply(name, i + 1, text).unwrap()
    mailbox = Mailbox()
    types = (RouteRequest, SubmitRun, QueryRun, WaitRun, ListRuns, CancelRun, StopRun)
    context.bus.register(mailbox, *types)
    scheme = "https" if api.tls.certificate else "http"
    url = f"{scheme}://127.0.0.1:{plugin.listener.port}"
    async with aiohttp.ClientSession() as session:
        cell = Cell(plugin=plugin, session=session, url=url, store=platform.store)
        handler = asyncio.create_task(_handle_messages(mailbox, cell))
        try:
            yield cell
        finally:
            handler.cancel()
            await plugin.stop()
