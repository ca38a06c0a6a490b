"""Command `where`: tell where a job would go now, without sending it."""

import email.parser
import os
import pathlib
import re
import urllib.parse

import attrs

from wasabipaddle.commands.action import Action, UsageError
from wasabipaddle.commands.where_text import as_text
from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError
from wasabipaddle.jobs.addresses import is_callable_address
from wasabipaddle.messages import encode
from wasabipaddle.messages.placement import AskWhere, WhereReply
from wasabipaddle.settings import CellPeer
from wasabipaddle.transport import HttpTransport

__all__ = ["read_question", "where_action"]

PROCESS_VARIABLE = "WASABIPADDLE_PROCESS"
TIMEOUT_S = 8.0
# In base64, a body of this size keeps to the limit of the internal listener.
MAX_FILE_BYTES = 750_000
SUBMITTING_METHOD = "POST"
EMPTY_LINE = re.compile(rb"\r?\n\r?\n")
# Line of the head of a request; in JSON no line looks like one.
HEAD_LINE = re.compile(rb"^(?:\S+[ \t]+\S+[ \t]+HTTP/\d|[\w-]+:)", re.MULTILINE)


def where_action(file, *, process, queue, workspace, json):
    """Return the action of the command; see `Cli.where`."""
    address = process or os.environ.get(PROCESS_VARIABLE, "")
    if not address:
        raise UsageError(f"no process: give --process or set {PROCESS_VARIABLE}")
    if not is_callable_address(address):
        raise UsageError("--process must be HOST:PORT")

    async def run():
        question = read_question(_read_file(file), queue=queue, workspace=workspace)
        reply = await _ask(address, question)
        print(encode(reply).decode() if json else as_text(reply))

    return Action(run=run)


def _read_file(file):
    """Return the content of a file, or raise `WasabipaddleError`."""
    try:
        with pathlib.Path(file).open("rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise _error(ErrorKind.INVALID_REQUEST, str(error)) from error
    if len(data) > MAX_FILE_BYTES:
        detail = f"{file} has more than {MAX_FILE_BYTES} bytes"
        raise _error(ErrorKind.BODY_TOO_LARGE, detail)
    return data


def read_question(data, *, queue, workspace) -> AskWhere:
    """Return the question about a file.

    Of the headers of a request only the host is used, so that no key is sent.

    Parameters
    ----------
    data : bytes
        Content of the file: the body alone if `queue` is given, else a request.
    queue, workspace : str
        Names of the queue and of the workspace.
    """
    if queue and HEAD_LINE.search(data):
        raise UsageError("the file has the head of a request: leave out --queue")
    if queue:
        return AskWhere(body=data, queue=queue, workspace=workspace)
    head, *body = EMPTY_LINE.split(data, maxsplit=1)
    line, _, headers = head.decode("latin-1").partition("\n")
    words = line.split()
    if not body or len(words) != 3 or not words[2].startswith("HTTP/"):
        detail = "the file is no HTTP request; for a body alone, name the --queue"
        raise _error(ErrorKind.INVALID_REQUEST, detail)
    method, target, _ = words
    if method != SUBMITTING_METHOD:
        detail = f"only a {SUBMITTING_METHOD} request submits a job"
        raise _error(ErrorKind.METHOD_NOT_ALLOWED, detail)
    try:
        url = urllib.parse.urlsplit(target)
    except ValueError as error:
        raise _error(ErrorKind.INVALID_REQUEST, str(error)) from error
    host = email.parser.HeaderParser().parsestr(headers).get("Host", "")
    return AskWhere(
        body=body[0],
        host=url.hostname or host.strip().partition(":")[0],
        path=url.path,
        workspace=workspace,
    )


async def _ask(address, question):
    """Return the reply of the process at an address."""
    transport = HttpTransport(peers={address: CellPeer.parse(address)})
    try:
        reply = await transport.call(address, question, WhereReply, timeout_s=TIMEOUT_S)
    finally:
        await transport.close()
    if reply.is_ok():
        return reply.ok()
    failure = reply.err()
    if failure.kind is ErrorKind.NOT_FOUND:
        detail = f"the process at {address} runs an earlier version without `where`"
        raise _error(ErrorKind.NOT_FOUND, detail)
    if failure.kind is ErrorKind.TIMEOUT:
        # A question has no effect, so nothing is in doubt without a reply.
        failure = attrs.evolve(failure, kind=ErrorKind.UNREACHABLE)
    raise WasabipaddleError(failure)


def _error(kind, detail):
    return WasabipaddleError(Failure(kind=kind, detail=detail))
