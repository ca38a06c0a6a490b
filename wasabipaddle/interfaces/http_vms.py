"""HTTP client of the platform's list of VMs."""

import urllib.parse

from result import Ok

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces.http import ConditionalResponse, HttpClient
from wasabipaddle.interfaces.vms import VmEntry, VmList

__all__ = ["HttpVmList"]

DEFAULT_TIMEOUT_S = 2.0


class HttpVmList(VmList):
    """HTTP client of the platform's list of VMs.

    Parameters
    ----------
    url : str
        Base URL of the service.
    timeout_s : float
        Timeout of a call.
    """

    def __init__(self, *, url, timeout_s=DEFAULT_TIMEOUT_S):
        self.url = f"{url.rstrip('/')}/vms/v1"
        self.timeout_s = timeout_s
        self.cached = {}
        self.http_client = HttpClient(
            connections=2, undelivered_kind=ErrorKind.UNREACHABLE
        )

    async def read(self, *, data_centre=None):
        """Return the VMs of one data centre, or of all data centres for None.

        The list is read about once a second and grows with the fleet, so a conditional
        request avoids the transfer of an unchanged list.
        """
        url = self.url
        if data_centre is not None:
            url += "?" + urllib.parse.urlencode({"data_centre": data_centre})
        cached = self.cached.get(url, ConditionalResponse(value=(), etag=""))
        result = await self.http_client.read_if_changed(
            url, tuple[VmEntry, ...], timeout_s=self.timeout_s, etag=cached.etag
        )
        if result.is_err():
            return result
        if result.unwrap().value is not None:
            cached = self.cached[url] = result.unwrap()
        return Ok(cached.value)

    async def close(self):
        """Close the connections."""
        await self.http_client.close()
