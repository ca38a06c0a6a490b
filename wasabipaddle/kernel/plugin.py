"""Base class and registry of plug-ins."""

import abc
from typing import ClassVar

import attrs

__all__ = ["PLUGINS", "Plugin", "Route"]

PLUGINS = {}


@attrs.frozen(kw_only=True)
class Route:
    """One HTTP route that a plug-in serves.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path pattern of `aiohttp`.
    handler : callable
        Coroutine function from `aiohttp.web.Request` to a response.
    internal : bool
        Whether the route is served on the internal listener (between entry
        processes) and not on the listener for callers and operators.
    """

    method: str
    path: str
    handler: object
    internal: bool = False


class Plugin(abc.ABC):
    """One role of an entry process. Subclasses with a `name` register themselves.

    Parameters
    ----------
    context : Context
        Shared services of the process.
    """

    name: ClassVar[str] = ""
    requires: ClassVar[tuple[str, ...]] = ()

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        if cls.name:
            PLUGINS[cls.name] = cls

    def __init__(self, *, context):
        self.context = context

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the role."""
        return []

    async def start(self):
        """Start the tasks of the role."""

    async def drain(self):
        """Take no new work and finish or hand over what is in progress."""

    async def stop(self):
        """Stop the tasks of the role."""
