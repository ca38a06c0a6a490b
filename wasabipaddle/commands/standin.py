"""Command `standin`: run stand-ins of the platform in a separate process."""

import asyncio
import signal

from absl import logging

from wasabipaddle.exceptions import WasabipaddleError
from wasabipaddle.standins.host import StandinHost
from wasabipaddle.standins.settings import load_standin_settings

__all__ = ["standin"]


def standin(path):
    """Run the stand-ins of a YAML file until SIGINT or SIGTERM.

    Parameters
    ----------
    path : str
        File with the fields of `StandinSettings`.

    Raises
    ------
    WasabipaddleError
        If the file is not valid.
    """
    loaded = load_standin_settings(path)
    if loaded.is_err():
        raise WasabipaddleError(loaded.unwrap_err())
    asyncio.run(_run(loaded.unwrap()))


async def _run(settings):
    host = StandinHost(settings=settings)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    await host.start()
    logging.info("stand-ins are listening; control port %d", host.control.port)
    await stopped.wait()
    await host.close()
