"""Commands `service check|apply|show|diff|history`: manage service documents."""

import json as json_module
import pathlib

from fire.decorators import SetParseFns

from wasabipaddle.commands.action import Action, UsageError
from wasabipaddle.commands.client import ApiClient, connection
from wasabipaddle.commands.exit_codes import EXIT_BROKEN
from wasabipaddle.documents import diff_texts, load_document
from wasabipaddle.exceptions import ErrorKind, WasabipaddleError

__all__ = ["ServiceCommands"]


class ServiceCommands:
    """Check, apply and read service documents.

    The flags --server, --token_file and --authority default to the environment
    variables WASABIPADDLE_SERVER, WASABIPADDLE_TOKEN_FILE and WASABIPADDLE_AUTHORITY.
    Without a token file, WASABIPADDLE_TOKEN holds the token itself.
    """

    @SetParseFns(file=str)
    def check(self, file, json=False):
        """Validate a document file without a server.

        Parameters
        ----------
        file : str
            File with the service document, as YAML.
        json : bool
            Print JSON.
        """

        def run():
            loaded = load_document(file)
            if json:
                detail = "" if loaded.is_ok() else loaded.unwrap_err().detail
                print(json_module.dumps({"valid": loaded.is_ok(), "detail": detail}))
            elif loaded.is_ok():
                print(f"{file}: valid document of {loaded.unwrap().service}")
            else:
                raise WasabipaddleError(loaded.unwrap_err())
            return None if loaded.is_ok() else EXIT_BROKEN

        return Action(run=_exit_as_failed_check(run))

    @SetParseFns(file=str, server=str, token_file=str, authority=str)
    def apply(
        self, file, revision=0, server="", token_file="", authority="", json=False
    ):
        """Apply a document file.

        The call is refused if the stored document has another revision than the
        given one, so that it cannot overwrite the change of another operator.

        Parameters
        ----------
        file : str
            File with the service document, as YAML.
        revision : int
            Revision that the document replaces; 0 for a new service.
        server : str
            URL of the server; default WASABIPADDLE_SERVER.
        token_file : str
            File with the bearer token; default WASABIPADDLE_TOKEN_FILE.
        authority : str
            File with the certificate authority; default WASABIPADDLE_AUTHORITY.
        json : bool
            Print JSON.
        """
        if isinstance(revision, bool) or not isinstance(revision, int) or revision < 0:
            raise UsageError("--revision must be a whole number of at least 0")
        target = connection(server=server, token_file=token_file, authority=authority)

        async def run():
            document, text = _load_with_text(file)
            condition = {"If-Match": f'"{revision}"'}
            if revision == 0:
                condition = {"If-None-Match": "*"}
            path = f"/v1/services/{document.service}"
            async with ApiClient(connection=target) as client:
                response = await client.call(
                    "PUT", path, headers=condition, data=text.encode()
                )
            body = response.body
            line = f"{body['service']} is applied as revision {body['revision']}"
            print(json_module.dumps(body) if json else line)

        return Action(run=run)

    @SetParseFns(service=str, server=str, token_file=str, authority=str)
    def show(self, service, server="", token_file="", authority="", json=False):
        """Show the stored document of a service and its revision.

        Parameters
        ----------
        service : str
            Name of the service.
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

        async def run():
            view = await _fetch(target, f"/v1/services/{service}")
            if json:
                print(json_module.dumps(view))
                return
            print(f"# revision {view['revision']}, team {view['team']}")
            print(view["text"], end="")

        return Action(run=run)

    @SetParseFns(file=str, server=str, token_file=str, authority=str)
    def diff(self, file, server="", token_file="", authority="", json=False):
        """Show the differences between the stored document and a document file.

        Parameters
        ----------
        file : str
            File with the service document, as YAML.
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

        async def run():
            document, text = _load_with_text(file)
            service, stored, revision = document.service, "", 0
            try:
                view = await _fetch(target, f"/v1/services/{service}")
                stored, revision = view["text"], view["revision"]
            except WasabipaddleError as error:
                if error.failure.kind is not ErrorKind.NOT_FOUND:
                    raise
            name = f"{service}@{revision}"
            diff = diff_texts(stored, text, old_name=name, new_name=file)
            body = {"service": service, "revision": revision, "diff": diff}
            print(json_module.dumps(body) if json else diff or f"equal to {name}")

        return Action(run=run)

    @SetParseFns(service=str, server=str, token_file=str, authority=str)
    def history(self, service, server="", token_file="", authority="", json=False):
        """List the retained revisions of a document and the changes between them.

        Parameters
        ----------
        service : str
            Name of the service.
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

        async def run():
            body = await _fetch(target, f"/v1/services/{service}/history")
            if json:
                print(json_module.dumps(body))
                return
            previous = {"text": "", "revision": 0}
            for view in body["revisions"]:
                change = "deleted" if view["text"] is None else "applied"
                editor = view["editor"] or "a local operator"
                print(f"revision {view['revision']}: {change} by {editor}")
                print(_diff_revisions(service, previous, view))
                previous = view

        return Action(run=run)


def _diff_revisions(service, old, new):
    return diff_texts(
        old["text"],
        new["text"],
        old_name=f"{service}@{old['revision']}",
        new_name=f"{service}@{new['revision']}",
    )


def _exit_as_failed_check(run):
    """Wrap a check so that an invalid document exits with `EXIT_BROKEN`."""

    def checked():
        try:
            return run()
        except WasabipaddleError as error:
            error.exit_code = EXIT_BROKEN
            raise

    return checked


def _load_with_text(file):
    loaded = load_document(file)
    if loaded.is_err():
        raise WasabipaddleError(loaded.unwrap_err())
    return loaded.unwrap(), pathlib.Path(file).read_text(encoding="utf-8")


async def _fetch(target, path):
    async with ApiClient(connection=target) as client:
        return (await client.call("GET", path)).body
