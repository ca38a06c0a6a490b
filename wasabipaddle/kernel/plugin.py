"""Base class and registry of plugins."""

import abc
from typing import ClassVar

import attrs

__all__ = ["PLUGINS", "Plugin", "Route"]

PLUGINS = {}


@attrs.frozen(kw_only=True)
class Route:
    """One HTTP route that a plugin serves.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path pattern in the syntax of `aiohttp`.
    handler : callable
        Coroutine function from `aiohttp.web.Request` to a response.
    internal : bool
        Whether the route is served on the internal listener, for other entry
        processes, instead of the listener for callers and operators.
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
        Services that the plugins of the process share.

    Attributes
    ----------
    name : str
        Name of the role; abstract subclasses leave it empty.
    requires : tuple of str
        Names of the roles that are started before this one.
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
        """Accept no new work, and finish or hand over the work in progress."""

    async def stop(self):
        """Stop the tasks of the role."""
