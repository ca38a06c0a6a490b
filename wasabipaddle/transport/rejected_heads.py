"""Log filter for requests whose head the HTTP library cannot parse."""

import logging

from aiohttp.http_exceptions import HttpProcessingError

__all__ = ["RejectedHeads", "count_rejected_heads"]

SERVER_LOGGER = "aiohttp.server"


class RejectedHeads(logging.Filter):
    """Counts rejected heads in place of logging them.

    The library logs a rejected head with the line that it could not parse, which may
    contain the key of a caller, and it logs every single one.

    Parameters
    ----------
    metrics : Metrics
        Gets the counter `calls_rejected_head`.
    """

    def __init__(self, *, metrics):
        super().__init__()
        self.metrics = metrics

    def filter(self, record):
        """Return whether to log a record."""
        error = record.exc_info[1] if record.exc_info else None
        if not isinstance(error, HttpProcessingError):
            return True
        self.metrics.count("calls_rejected_head")
        return False


def count_rejected_heads(metrics):
    """Count rejected heads from now on, in all HTTP servers of this process."""
    logging.getLogger(SERVER_LOGGER).addFilter(RejectedHeads(metrics=metrics))
