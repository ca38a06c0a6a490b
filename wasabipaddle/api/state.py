"""Objects and helper functions that the HTTP routes share."""

import asyncio
import re
import secrets

import attrs

from wasabipaddle.api.auth import Authenticator
from wasabipaddle.api.editor import DocumentEditor
from wasabipaddle.api.idempotency import AnswerCache
from wasabipaddle.api.limits import CallerLimits
from wasabipaddle.api.readiness import Readiness
from wasabipaddle.api.responses import fail, unwrap
from wasabipaddle.documents import Catalogue
from wasabipaddle.exceptions import ErrorKind, WasabipaddleError
from wasabipaddle.ingress import read_body as receive_body
from wasabipaddle.kernel import Context

__all__ = ["ApiState", "read_body", "read_integer"]

KEY = re.compile(r"[!-~]{1,128}")
KEY_HEADER = "Idempotency-Key"
# Time for a reply from the bus in addition to the time limit of the operation.
ASK_MARGIN_S = 1.0
BODY_TIMEOUT_S = 15.0


@attrs.define(kw_only=True)
class ApiState:
    """Shared objects of the routes.

    Parameters
    ----------
    context : Context
        Shared services of the process.
    catalogue : Catalogue
        Applied documents.
    editor : DocumentEditor or None
        Editor of documents; None if the process has no client of the store.
    auth : Authenticator
        Authentication of operators and callers.
    limits : CallerLimits
        Rate limits.
    readiness : Readiness
        Readiness and state of the shutdown.
    answer_cache : AnswerCache
        Answers for repeated idempotency keys.
    keys : object or None
        Has `claim` and `release` of `KeysPlugin`. If None, repeated keys are detected
        within this process only.
    """

    context: Context
    catalogue: Catalogue
    editor: DocumentEditor | None
    auth: Authenticator
    limits: CallerLimits
    readiness: Readiness
    answer_cache: AnswerCache
    keys: object = None

    @classmethod
    def create(cls, *, context, catalogue, readiness, store):
        """Create the shared objects from the settings of the process."""
        settings = context.settings.api
        editor = None
        if store is not None:
            editor = DocumentEditor(store=store, catalogue=catalogue)
        answer_cache = AnswerCache(clock=context.clock)
        keys = context.plugins.get("keys")
        if keys is not None:
            keys.answer_cache = answer_cache
        return cls(
            context=context,
            catalogue=catalogue,
            editor=editor,
            auth=Authenticator(settings=settings),
            limits=CallerLimits(
                rate_per_s=settings.caller_rate_per_s,
                burst=settings.caller_burst,
                clock=context.clock,
            ),
            readiness=readiness,
            answer_cache=answer_cache,
            keys=keys,
        )

    @property
    def settings(self):
        """`ApiSettings` of the process."""
        return self.context.settings.api

    def document(self, service):
        """Return the applied document of a service, or raise `not_found`."""
        document = self.catalogue.get(service)
        if document is None:
            fail(ErrorKind.NOT_FOUND, f"there is no service {service[:100]!r}")
        return document

    async def ask(self, message, *, timeout_s):
        """Send a message on the bus and return the reply, or raise its failure."""
        reply = await self.context.bus.ask(message, timeout_s=timeout_s)
        return unwrap(reply)

    def key_of(self, request, *, generate) -> str:
        """Return the idempotency key of a call.

        Without the header it is a new key if `generate` is set, else an empty string.
        """
        key = request.headers.get(KEY_HEADER)
        if key is None:
            return secrets.token_hex(16) if generate else ""
        if KEY.fullmatch(key) is None:
            detail = f"{KEY_HEADER} is not 1 to 128 printable ASCII characters"
            fail(ErrorKind.INVALID_REQUEST, detail)
        return key


async def read_body(request) -> bytes:
    """Read the body within the size limit and the time limit for slow senders."""
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            body = await receive_body(request)
    except TimeoutError:
        detail = f"the body did not arrive within {BODY_TIMEOUT_S:g} s"
        fail(ErrorKind.INVALID_REQUEST, detail)
    if body.is_err():
        raise WasabipaddleError(body.err())
    return body.ok()


def read_integer(request, name, default, *, low=0, high) -> int:
    """Return an integer parameter of the query, or raise `invalid_request`."""
    text = request.query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= 16):
        fail(ErrorKind.INVALID_REQUEST, f"{name} is not a whole number")
    value = int(text)
    if not low <= value <= high:
        fail(ErrorKind.INVALID_REQUEST, f"{name} is not between {low} and {high}")
    return value
