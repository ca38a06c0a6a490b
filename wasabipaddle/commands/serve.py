"""Command `serve`: run an entry process."""

import asyncio

from absl import logging

from wasabipaddle.exceptions import WasabipaddleError
from wasabipaddle.serve.process import serve as run_process
from wasabipaddle.settings import load_settings

__all__ = ["serve"]


def serve(path, *, process=None):
    """Run an entry process until SIGINT or SIGTERM, then drain it.

    Parameters
    ----------
    path : str
        Settings file.
    process : str or None
        Name of the process; None uses the one in the settings file.

    Raises
    ------
    WasabipaddleError
        If the settings are not valid.
    """
    settings = load_settings(path, process=process)
    if settings.is_err():
        raise WasabipaddleError(settings.unwrap_err())
    logging.set_verbosity(logging.INFO)
    asyncio.run(run_process(settings.unwrap()))
