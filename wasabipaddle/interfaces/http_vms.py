"""Plug-in for a list of VMs behind HTTP."""

import urllib.parse

from result import Ok

from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces.http import Conditional, HttpCaller
from wasabipaddle.interfaces.vms import VmEntry, VmList

__all__ = ["HttpVmList"]

DEFAULT_TIMEOUT_S = 2.0


class HttpVmList(VmList):
    """Client of a list of VMs behind HTTP.

    Parameters
    ----------
    url : str
        Address of the list.
    timeout_s : float
        Longest wait for an answer.
    """

    def __init__(self, *, url, timeout_s=DEFAULT_TIMEOUT_S):
        self.url = f"{url.rstrip('/')}/vms/v1"
        self.timeout_s = timeout_s
        self.kept = {}
        self.caller = HttpCaller(connections=2, refused=ErrorKind.UNREACHABLE)

    async def read(self, *, data_centre=None):
        """Return the list, of one data centre or of all.

        An unchanged list is not sent again, since it is read every second or so and
        grows with the fleet.
        """
        url = self.url
        if data_centre is not None:
            url += "?" + urllib.parse.urlencode({"data_centre": data_centre})
        kept = self.kept.get(url, Conditional(value=(), etag=""))
        result = await self.caller.read_if_changed(
            url, tuple[VmEntry, ...], timeout_s=self.timeout_s, etag=kept.etag
        )
        if result.is_err():
            return result
        if result.unwrap().value is not None:
            kept = self.kept[url] = result.unwrap()
        return Ok(kept.value)

    async def close(self):
        """Close connections."""
        await self.caller.close()
