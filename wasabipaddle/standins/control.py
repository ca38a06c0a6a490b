"""Client that changes faults and reads ledgers of stand-in processes."""

from result import Err, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces.http import HttpClient
from wasabipaddle.standins.host import FaultCommand, LinkCommand, Traffic, VmCommand
from wasabipaddle.standins.ledger import LedgerRecord, merge_records
from wasabipaddle.standins.store import SecondCount
from wasabipaddle.standins.verdict import Verdict, compute_verdict

__all__ = ["StandinControl"]

TIMEOUT_S = 10.0


class StandinControl:
    """Control of the stand-in processes of one cell.

    A command is sent to the processes one after another until a process accepts it. A
    change of the link is sent to all processes.

    Parameters
    ----------
    urls : tuple of str
        Control addresses of the processes.
    """

    def __init__(self, *, urls):
        self.urls = tuple(url.rstrip("/") for url in urls)
        self.client = HttpClient(undelivered_kind=ErrorKind.UNREACHABLE)

    async def set_faults(self, target, **changes) -> Result[None, Failure]:
        """Change the faults of `store`, `vm_list` or a VM."""
        return await self._post("faults", FaultCommand(target=target, changes=changes))

    async def set_vm_status(self, vm, status) -> Result[None, Failure]:
        """Change the status of a VM in the list of VMs."""
        return await self._post("vms", VmCommand(vm=vm, status=status))

    async def change_link(self, **fields) -> Result[None, Failure]:
        """Change the link; the arguments are the fields of `LinkCommand`."""
        command = LinkCommand(**fields)
        return _combine_results(
            [await self._post_to(url, "link", command) for url in self.urls]
        )

    async def record(self) -> LedgerRecord:
        """Return the merged ledger of all processes."""
        return merge_records(await self._get_all("ledger", LedgerRecord))

    async def verdict(self, *own_records) -> Verdict:
        """Return the verdict on the ledgers of all processes and on `own_records`."""
        return compute_verdict(merge_records([await self.record(), *own_records]))

    async def traffic(self) -> tuple[Traffic, ...]:
        """Return the bytes that the links carried between each pair of places."""
        found = await self._get_all("traffic", tuple[Traffic, ...])
        return sum(found, ())

    async def store_calls(self) -> tuple[SecondCount, ...]:
        """Return the number of store calls in each second."""
        return sum(await self._get_all("calls", tuple[SecondCount, ...]), ())

    async def close(self):
        """Close connections."""
        await self.client.close()

    async def _post(self, path, command):
        results = []
        for url in self.urls:
            results.append(await self._post_to(url, path, command))
            if results[-1].is_ok():
                break
        return _combine_results(results)

    async def _post_to(self, url, path, command):
        return await self.client.call(
            "POST", f"{url}/{path}", None, timeout_s=TIMEOUT_S, body=command
        )

    async def _get_all(self, path, response_type):
        found = []
        for url in self.urls:
            result = await self.client.call(
                "GET", f"{url}/{path}", response_type, timeout_s=TIMEOUT_S
            )
            found.append(result.unwrap())
        return found


def _combine_results(results):
    """Return the first success, else the most specific failure.

    A failure other than `not_found` comes from a process that has the target, and the
    first of them is returned. If no process has the target, the result is a failure
    of kind `invalid_request`.
    """
    failures = [r.unwrap_err() for r in results if r.is_err()]
    if len(failures) < len(results):
        return next(r for r in results if r.is_ok())
    for failure in failures:
        if failure.kind is not ErrorKind.NOT_FOUND:
            return Err(failure)
    return Err(Failure(kind=ErrorKind.INVALID_REQUEST, detail=failures[0].detail))
