"""Command `timeline`: show the merged events of all processes."""

import pathlib

import msgspec

from wasabipaddle.commands.action import Action, UsageError
from wasabipaddle.commands.client import ApiClient, connection
from wasabipaddle.timeline import (
    Timeline,
    render_html,
    render_json_lines,
    render_text,
)

__all__ = ["timeline_action"]


def timeline_action(*, filters, connection_options, json, html) -> Action:
    """Return the action that prints a timeline or writes it as an HTML page.

    Parameters
    ----------
    filters : dict of str to object
        Query parameters of `/v1/timeline`; those that are empty or None are left out.
    connection_options : dict of str to str
        Keyword arguments of `connection`.
    json : bool
        Print JSON lines instead of text, also if a page is written.
    html : str
        Path of the HTML page to write; empty prints text instead.
    """
    target = connection(**connection_options)
    params = {k: str(v) for k, v in filters.items() if v not in ("", None)}

    async def run():
        async with ApiClient(connection=target) as client:
            body = (await client.call("GET", "/v1/timeline", params=params)).body
        merged = msgspec.convert(body, Timeline)
        if html:
            _write_page(merged, params, html)
        if json:
            print(render_json_lines(merged))
        elif html:
            print(f"{html}: {len(merged.events)} events")
        else:
            print(render_text(merged))

    return Action(run=run)


def _write_page(merged, params, file):
    title = " ".join(f"{k} {v}" for k, v in params.items()) or "all events"
    page = render_html(merged, title=f"Timeline: {title}")
    try:
        pathlib.Path(file).write_text(page, encoding="utf-8")
    except OSError as error:
        raise UsageError(f"the page cannot be written to {file}") from error
