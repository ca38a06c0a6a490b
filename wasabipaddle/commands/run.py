"""Commands `run submit|status|wait|stop|cancel`: submit and control runs."""

import asyncio
import json as json_module
import pathlib
import secrets
import urllib.parse

from fire.decorators import SetParseFns

from wasabipaddle.commands.action import Action, UsageError
from wasabipaddle.commands.client import ApiClient, connection
from wasabipaddle.commands.exit_codes import EXIT_BROKEN, EXIT_UNKNOWN
from wasabipaddle.documents.units import parse_quantity, rule_for
from wasabipaddle.exceptions import ErrorKind, Outcome, WasabipaddleError

__all__ = ["RunCommands"]

SUBMIT_ATTEMPTS = 4
RETRY_PAUSE_S = 0.5
LONG_POLL_S = 20.0


class RunCommands:
    """Submit, watch and end runs.

    The flags --server, --token_file and --authority default to the environment
    variables WASABIPADDLE_SERVER, WASABIPADDLE_TOKEN_FILE and WASABIPADDLE_AUTHORITY.
    Without a token file, WASABIPADDLE_TOKEN holds the token itself.
    """

    @SetParseFns(
        service=str, payload=str, key=str, server=str, token_file=str, authority=str
    )
    def submit(
        self,
        service,
        payload="",
        key="",
        server="",
        token_file="",
        authority="",
        json=False,
    ):
        """Submit a run of a service.

        A call whose outcome is unknown is retried with the same idempotency key,
        which cannot start a second run. --key KEY sets that key; it is random by
        default.

        Parameters
        ----------
        service : str
            Name of the service.
        payload : str
            JSON file with the payload of the run; empty for no payload.
        server : str
            URL of the server; default WASABIPADDLE_SERVER.
        token_file : str
            File with the bearer token; default WASABIPADDLE_TOKEN_FILE.
        authority : str
            File with the certificate authority; default WASABIPADDLE_AUTHORITY.
        json : bool
            Print JSON.
        """
        target = connection(server=server, token_file=token_file, authority=authority)
        data = _read_payload(payload)
        key = key or secrets.token_hex(16)

        async def run():
            async with ApiClient(connection=target) as client:
                response = await _submit_with_retries(client, service, key, data)
            view = response.body
            line = f"{view['run']} is {view['state']} (key {key})"
            print(json_module.dumps(view) if json else line)

        return Action(run=run)

    @SetParseFns(run=str, server=str, token_file=str, authority=str)
    def status(self, run, server="", token_file="", authority="", json=False):
        """Show the state of a run.

        Parameters
        ----------
        run : str
            Identifier of the run.
        server : str
            URL of the server; default WASABIPADDLE_SERVER.
        token_file : str
            File with the bearer token; default WASABIPADDLE_TOKEN_FILE.
        authority : str
            File with the certificate authority; default WASABIPADDLE_AUTHORITY.
        json : bool
            Print JSON.
        """
        target = connection(server=server, token_file=token_file, authority=authority)

        async def execute():
            async with ApiClient(connection=target) as client:
                response = await client.call("GET", _run_path(run))
            _print_run(response.body, json)

        return Action(run=execute)

    @SetParseFns(run=str, timeout=str, server=str, token_file=str, authority=str)
    def wait(
        self, run, timeout="1h", server="", token_file="", authority="", json=False
    ):
        """Wait until a run ends.

        The exit code is 1 if the run ended without completing, and 4 if it had not
        ended before the timeout.

        Parameters
        ----------
        run : str
            Identifier of the run.
        timeout : str
            Longest time to wait, with a unit, for example 90s or 1h.
        server : str
            URL of the server; default WASABIPADDLE_SERVER.
        token_file : str
            File with the bearer token; default WASABIPADDLE_TOKEN_FILE.
        authority : str
            File with the certificate authority; default WASABIPADDLE_AUTHORITY.
        json : bool
            Print JSON.
        """
        target = connection(server=server, token_file=token_file, authority=authority)
        timeout_s = _parse_duration("--timeout", timeout)

        async def execute():
            async with ApiClient(connection=target) as client:
                view = await _poll_until_ended(client, run, timeout_s)
            _print_run(view, json)
            if view["state"] != "ended":
                return EXIT_UNKNOWN
            return None if view["outcome"] == "completed" else EXIT_BROKEN

        return Action(run=execute)

    @SetParseFns(run=str, grace=str, server=str, token_file=str, authority=str)
    def stop(
        self, run, grace="10s", server="", token_file="", authority="", json=False
    ):
        """Stop a run gracefully, with a checkpoint where the worker supports it.

        Parameters
        ----------
        run : str
            Identifier of the run.
        grace : str
            Time that the tasks have to stop, with a unit, for example 10s or 2min.
        server : str
            URL of the server; default WASABIPADDLE_SERVER.
        token_file : str
            File with the bearer token; default WASABIPADDLE_TOKEN_FILE.
        authority : str
            File with the certificate authority; default WASABIPADDLE_AUTHORITY.
        json : bool
            Print JSON.
        """
        target = connection(server=server, token_file=token_file, authority=authority)
        params = {"grace": f"{_parse_duration('--grace', grace):g}s"}
        return Action(run=lambda: _end_run(target, run, "stop", params, json))

    @SetParseFns(run=str, server=str, token_file=str, authority=str)
    def cancel(self, run, server="", token_file="", authority="", json=False):
        """Cancel a run; it ends without a result.

        Parameters
        ----------
        run : str
            Identifier of the run.
        server : str
            URL of the server; default WASABIPADDLE_SERVER.
        token_file : str
            File with the bearer token; default WASABIPADDLE_TOKEN_FILE.
        authority : str
            File with the certificate authority; default WASABIPADDLE_AUTHORITY.
        json : bool
            Print JSON.
        """
        target = connection(server=server, token_file=token_file, authority=authority)
        return Action(run=lambda: _end_run(target, run, "cancel", None, json))


async def _submit_with_retries(client, service, key, data):
    path = f"/v1/services/{urllib.parse.quote(service, safe='')}/runs"
    headers = {"Idempotency-Key": key}
    for attempt in range(SUBMIT_ATTEMPTS):
        try:
            return await client.call("POST", path, headers=headers, data=data)
        except WasabipaddleError as error:
            failure = error.failure
            is_last = attempt == SUBMIT_ATTEMPTS - 1
            # A retry does not help against `internal`, an error of the server itself.
            is_unknown = failure.outcome is Outcome.UNKNOWN
            if is_last or not is_unknown or failure.kind is ErrorKind.INTERNAL:
                raise
        await asyncio.sleep(RETRY_PAUSE_S * 2**attempt)
    raise AssertionError("unreachable")


async def _poll_until_ended(client, run, timeout_s):
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while True:
        poll_s = max(min(deadline - loop.time(), LONG_POLL_S), 0.0)
        params = {"wait": f"{poll_s:.3f}s"}
        response = await client.call(
            "GET", _run_path(run), params=params, wait_s=poll_s
        )
        if response.body["state"] == "ended" or loop.time() >= deadline:
            return response.body
        # A server that is shutting down answers long polls early; pause before the
        # next poll.
        await asyncio.sleep(min(RETRY_PAUSE_S, max(deadline - loop.time(), 0.0)))


async def _end_run(target, run, action, params, json):
    async with ApiClient(connection=target) as client:
        response = await client.call(
            "POST", f"{_run_path(run)}/{action}", params=params
        )
    _print_run(response.body, json)


def _print_run(view, json):
    if json:
        print(json_module.dumps(view))
        return
    outcome = f", {view['outcome']}" if view["outcome"] else ""
    reason = f": {view['reason']}" if view["reason"] else ""
    print(f"{view['run']} of {view['service']}: {view['state']}{outcome}{reason}")
    for task in view["tasks"]:
        worker = task["worker"] or "-"
        attempt = task["attempt"]
        print(f"  task {task['index']} attempt {attempt} on {worker}: {task['phase']}")
    for answer in view["answers"]:
        print(f"  answer {answer}")


def _read_payload(name):
    if not name:
        return b""
    try:
        return pathlib.Path(name).read_bytes()
    except OSError as error:
        raise UsageError(f"cannot read the payload file {name}") from error


def _parse_duration(flag, text):
    rule = rule_for("wait_s")
    value = parse_quantity(text, rule, whole=False)
    if value is None:
        raise UsageError(f"{flag} must be {rule.allowed}")
    return value


def _run_path(run):
    return f"/v1/runs/{urllib.parse.quote(run, safe='')}"
