"""Client of the eligibility service."""

from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import Advice, AdviceClient
from wasabipaddle.platform.http import PlatformCaller

__all__ = ["PlatformAdvice"]

MS_PER_S = 1000


class PlatformAdvice(AdviceClient):
    """Eligibility service over HTTP.

    Parameters
    ----------
    address : str
        Host and port.
    """

    def __init__(self, *, address):
        self.caller = PlatformCaller(address=address)

    async def ask(
        self, *, job, occurrence, step, runners, timeout_s
    ) -> Result[Advice, Failure]:
        """Ask which of the named runners may run a step."""
        body = {"step": f"{job}.{occurrence}.{step}", "workers": list(runners)}
        called = await self.caller.call(
            "POST", "/advise", body=body, timeout_s=timeout_s
        )
        if called.is_err():
            return called
        answer = called.ok()
        if answer.status != 200:
            kind = ErrorKind.UNREACHABLE
            if answer.status == 429:
                kind = ErrorKind.RATE_LIMITED
            detail = f"the eligibility service answered {answer.status}"
            return Err(Failure(kind=kind, detail=detail))
        rows = answer.body.get("good", ())
        return Ok(
            Advice(
                tickets={row[0]: row[1] for row in rows},
                valid_s=answer.body.get("valid_ms", 0) / MS_PER_S,
            )
        )

    async def close(self):
        """Close connections."""
        await self.caller.close()
