"""Routes of service documents: conditional edits, reads, history and listing."""

import re

from aiohttp import web

from wasabipaddle.api.responses import fail, json_response, unwrap
from wasabipaddle.api.state import read_body, read_integer
from wasabipaddle.documents.reader import NAME, NAME_ALLOWED
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.kernel import Route
from wasabipaddle.messages import DocumentRevision

__all__ = ["DocumentRoutes"]

ETAG = re.compile(r'"([0-9]{1,15})"')
DEFAULT_LIMIT = 100
MAX_LIMIT = 1_000


class DocumentRoutes:
    """Routes of service documents.

    Parameters
    ----------
    state : ApiState
        Shared objects of the routes.
    """

    def __init__(self, *, state):
        self.state = state

    def routes(self) -> list[Route]:
        """Return the routes."""
        path = "/v1/services/{service}"
        table = (
            ("GET", "/v1/services", self.list),
            ("GET", path, self.get),
            ("PUT", path, self.put),
            ("DELETE", path, self.delete),
            ("GET", f"{path}/history", self.history),
        )
        return [Route(method=m, path=p, handler=h) for m, p, h in table]

    async def list(self, request):
        """Return a page of the applied documents, ordered by service name."""
        self.state.auth.operator(request)
        after = request.query.get("after", "")
        limit = read_integer(request, "limit", DEFAULT_LIMIT, low=1, high=MAX_LIMIT)
        found = [d for d in self.state.catalogue.documents() if d.service > after]
        page = [
            {
                "service": d.service,
                "revision": self.state.catalogue.applied[d.service].revision,
                "team": d.team,
                "kind": d.kind,
                "urgency": d.urgency,
            }
            for d in found[:limit]
        ]
        next_after = page[-1]["service"] if len(found) > limit else None
        return json_response({"services": page, "next_after": next_after})

    async def get(self, request):
        """Return the stored document with its revision as `ETag`."""
        self.state.auth.operator(request)
        service = _service_of(request)
        view = unwrap(await self._editor().read(service))
        if view is None or view.text is None:
            fail(ErrorKind.NOT_FOUND, f"there is no service {service}")
        headers = {"ETag": _etag(view.revision)}
        if request.headers.get("If-None-Match") == headers["ETag"]:
            return web.Response(status=304, headers=headers)
        applied = self.state.catalogue.applied.get(service)
        body = {
            "service": service,
            "revision": view.revision,
            "revision_in_force": 0 if applied is None else applied.revision,
            "team": view.team,
            "editor": view.editor,
            "text": view.text,
        }
        return json_response(body, headers=headers)

    async def put(self, request):
        """Write a document if its current revision is the one the operator saw."""
        operator = self.state.auth.operator(request)
        service = _service_of(request)
        expected = _expected_revision(request, may_create=True)
        body = await read_body(request)
        try:
            text = body.decode()
        except UnicodeDecodeError:
            fail(ErrorKind.INVALID_DOCUMENT, f"{service}.yaml: the text is not UTF-8")
        revision = unwrap(
            await self._editor().apply(
                service, text, expected_revision=expected, editor=operator.team
            )
        )
        status = 200 if expected else 201
        return self._publish_edit(service, revision, text, status)

    async def delete(self, request):
        """Delete a document if its current revision is the one the operator saw."""
        operator = self.state.auth.operator(request)
        service = _service_of(request)
        expected = _expected_revision(request, may_create=False)
        revision = unwrap(
            await self._editor().delete(
                service, expected_revision=expected, editor=operator.team
            )
        )
        return self._publish_edit(service, revision, None, 200)

    async def history(self, request):
        """Return the current and the stored earlier revisions, oldest first."""
        self.state.auth.operator(request)
        service = _service_of(request)
        views = unwrap(await self._editor().history(service))
        if not views:
            fail(ErrorKind.NOT_FOUND, f"there is no service {service}")
        return json_response({"service": service, "revisions": views})

    def _publish_edit(self, service, revision, text, status):
        """Publish the new revision on the bus and return the response to the edit."""
        event = DocumentRevision(service=service, revision=revision, text=text)
        self.state.context.bus.publish(event)
        body = {"service": service, "revision": revision}
        return json_response(body, status=status, headers={"ETag": _etag(revision)})

    def _editor(self):
        if self.state.editor is None:
            fail(ErrorKind.STORE_UNAVAILABLE, "this process has no client of the store")
        return self.state.editor


def _service_of(request):
    service = request.match_info["service"]
    if NAME.fullmatch(service) is None:
        fail(ErrorKind.INVALID_REQUEST, f"the service is not {NAME_ALLOWED}")
    return service


def _expected_revision(request, *, may_create):
    match = request.headers.get("If-Match")
    none_match = request.headers.get("If-None-Match")
    if match is not None and none_match is not None:
        fail(ErrorKind.INVALID_REQUEST, "If-Match and If-None-Match cannot be combined")
    if may_create and none_match == "*":
        return 0
    found = ETAG.fullmatch(match or "")
    if found is not None and int(found.group(1)) > 0:
        return int(found.group(1))
    allowed = 'If-Match: "REVISION"'
    if may_create:
        allowed += " or If-None-Match: *"
    if match is None and none_match is None:
        fail(ErrorKind.PRECONDITION_REQUIRED, f"an edit needs {allowed}")
    fail(ErrorKind.INVALID_REQUEST, f"the condition is not {allowed}")


def _etag(revision):
    return f'"{revision}"'
