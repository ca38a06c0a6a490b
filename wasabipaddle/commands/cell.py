"""Command `cell`: run one process of a cell on the users' platform."""

import asyncio
import functools

from absl import logging

from wasabipaddle.cell import serve_cell
from wasabipaddle.exceptions import WasabipaddleError
from wasabipaddle.settings import load_cell_settings

__all__ = ["cell"]


def cell(path):
    """Run one process of a cell until SIGINT or SIGTERM, then drain it.

    Parameters
    ----------
    path : str
        Settings file; it is read again on each reload of the settings.

    Raises
    ------
    WasabipaddleError
        If the settings are not valid.
    """
    settings = load_cell_settings(path)
    if settings.is_err():
        raise WasabipaddleError(settings.unwrap_err())
    logging.set_verbosity(logging.INFO)
    reload = functools.partial(load_cell_settings, path)
    asyncio.run(serve_cell(settings.unwrap(), reload=reload))
