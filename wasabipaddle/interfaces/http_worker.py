"""HTTP client of a worker."""

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces.http import HttpClient
from wasabipaddle.interfaces.worker import WorkerClient, WorkerReport

__all__ = ["HttpWorker"]

DEFAULT_TIMEOUT_S = 1.0


class HttpWorker(WorkerClient):
    """HTTP client of a worker.

    Parameters
    ----------
    host, port
        Address of the worker.
    vm : str
        Name of the worker's VM.
    timeout_s : float
        Timeout of a call, in addition to the `wait_s` of the command.
    http_client : HttpClient or None
        HTTP client that is shared with other workers; None creates one.
    """

    def __init__(
        self, *, host, port, vm, timeout_s=DEFAULT_TIMEOUT_S, http_client=None
    ):
        self.url = f"http://{host}:{port}/worker/v1/{vm}/sync"
        self.timeout_s = timeout_s
        self.owns_http_client = http_client is None
        self.http_client = http_client or HttpClient(
            undelivered_kind=ErrorKind.UNREACHABLE
        )

    async def sync(self, command):
        """Send one batch of commands."""
        timeout_s = self.timeout_s + command.wait_s
        return await self.http_client.call(
            "POST", self.url, WorkerReport, timeout_s=timeout_s, body=command
        )

    async def close(self):
        """Close connections that are not shared."""
        if self.owns_http_client:
            await self.http_client.close()
