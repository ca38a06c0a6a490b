"""Command `cluster status`."""

import json as json_module

from fire.decorators import SetParseFns

from wasabipaddle.commands.action import Action
from wasabipaddle.commands.client import ApiClient, connection

__all__ = ["ClusterCommands"]

ROW = "{:24} {:22} {:6} {:9} {:>5}  {}"
# Between data centres, gossip carries only heartbeats and shard leaderships.
FAR_NOTE = (
    "revision and load of members in other data centres are those of the last "
    "summary, which only the delegate of a data centre receives"
)


class ClusterCommands:
    """Show the state of the cell.

    The flags --server, --token_file and --authority default to the environment
    variables WASABIPADDLE_SERVER, WASABIPADDLE_TOKEN_FILE and WASABIPADDLE_AUTHORITY.
    Without a token file, WASABIPADDLE_TOKEN holds the token itself.
    """

    @SetParseFns(server=str, token_file=str, authority=str)
    def status(self, server="", token_file="", authority="", json=False):
        """Show the state of the answering process and of the members it knows.

        Parameters
        ----------
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
            async with ApiClient(connection=target) as client:
                body = (await client.call("GET", "/v1/cluster")).body
            print(json_module.dumps(body) if json else _as_text(body))

        return Action(run=run)


def _as_text(body):
    ready = "ready" if body["ready"] else f"not ready ({', '.join(body['reasons'])})"
    location = f"{body['data_centre']}, {body['region']}"
    lines = [f"{body['process']} ({location}): {ready}, revision {body['revision']}"]
    if body["members_error"]:
        lines.append(f"members unknown: {body['members_error']}")
    if body["members"]:
        lines.append(
            ROW.format("process", "data centre", "state", "revision", "load", "leads")
        )
    for member in body["members"]:
        state = "live" if member["live"] else "down"
        if member["live"] and member["draining"]:
            state = "leaves"
        led = ", ".join(f"{s['shard']}@{s['epoch']}" for s in member["led"])
        load = f"{member['load']:.2f}"
        name, location = member["name"], member["data_centre"]
        lines.append(ROW.format(name, location, state, member["revision"], load, led))
    if any(m["data_centre"] != body["data_centre"] for m in body["members"]):
        lines.append(FAR_NOTE)
    return "\n".join(lines)
