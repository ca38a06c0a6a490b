"""HTTP client of the eligibility service."""

from result import Err, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import Advice, AdviceClient
from wasabipaddle.jobs.decoding import decode_answer, integer, text
from wasabipaddle.transport.json_client import JsonHttpClient

__all__ = ["PlatformAdvice"]

MS_PER_S = 1000


class PlatformAdvice(AdviceClient):
    """Eligibility service behind the platform's HTTP interface.

    Parameters
    ----------
    address : str
        Host and port.
    """

    def __init__(self, *, address):
        self.client = JsonHttpClient(address=address)

    async def ask(
        self, *, job, occurrence, step, runners, timeout_s
    ) -> Result[Advice, Failure]:
        """Ask which of the given runners may run a step."""
        body = {"step": f"{job}.{occurrence}.{step}", "workers": list(runners)}
        result = await self.client.call(
            "POST", "/advise", body=body, timeout_s=timeout_s
        )
        if result.is_err():
            return result
        response = result.ok()
        if response.status != 200:
            kind = ErrorKind.UNREACHABLE
            if response.status == 429:
                kind = ErrorKind.RATE_LIMITED
            detail = f"the eligibility service returned status {response.status}"
            return Err(Failure(kind=kind, detail=detail))
        name = "the answer of the eligibility service"
        return decode_answer(_decode_advice, response.body, name=name)

    async def close(self):
        """Close the connections."""
        await self.client.close()


def _decode_advice(body):
    return Advice(
        tickets=dict(map(_decode_ticket, body.get("good", ()))),
        valid_s=integer(body.get("valid_ms", 0), least=0) / MS_PER_S,
    )


def _decode_ticket(row):
    runner, ticket = row[0], row[1]
    if not isinstance(row, list) or not isinstance(ticket, str):
        raise TypeError("a row is not a list of a runner and a ticket")
    return text(runner), ticket
