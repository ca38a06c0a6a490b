"""Admission of jobs by quota and forecast, at the process that received them."""

from result import Err, Ok

from wasabipaddle.cell.refusal_marks import MIN_RETRY_S, RefusalMarks
from wasabipaddle.dispatch.forecast import find_excess_s
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs import find_quota_problem

__all__ = ["Admission"]

# Age from which a forecast is not used.
FORECAST_VALID_S = 1.5
# Longest time after which a refused caller may try again, and the factor up to which it
# is spread, so that callers do not return together.
MAX_RETRY_S = 20.0
RETRY_SPREAD = 2.0
# Time after which a caller may try again whose job exceeds its quota, which people set.
QUOTA_RETRY_S = 60.0


class Admission:
    """Refuses jobs that cannot be of use any more, before they are stored.

    A job is refused if one of its steps alone exceeds the quota of its workspace, so
    that it could never start.

    Otherwise admission answers a load far above the room or the quota of a workspace.
    It refuses certain cases only: with little room, the order of waiting work serves
    callers better than refusals, since a job that waits behind others costs them
    nothing. Without a recent forecast such a job is accepted.

    Parameters
    ----------
    context : Context
        Services of the process.
    configuration : ConfigurationPlugin
        Provides the quotas.
    members : MembersPlugin
        Holds the forecast of the leader.
    store_plugin : CellStorePlugin
        The store.

    Attributes
    ----------
    marks : RefusalMarks
        Make refusals hold.
    """

    def __init__(self, *, context, configuration, members, store_plugin):
        self.context = context
        self.configuration = configuration
        self.members = members
        self.marks = RefusalMarks(context=context, store_plugin=store_plugin)

    async def check(self, job):
        """Return an `Err` for a job that is refused.

        It is of kind `quota_exceeded` or `deadline_unmeetable`. A job is not refused if
        it exists, as after an earlier submission, or if that is not known. A job that
        was accepted before the quota fell waits until the quota rises.
        """
        refusal = self.find_refusal(job)
        if refusal is None or not await self.marks.set(job.id):
            return Ok(None)
        return Err(refusal)

    def find_refusal(self, job):
        """Return the `Failure` of a job that is refused unless it exists, else None."""
        return self._find_quota_refusal(job) or self._find_late_refusal(job)

    def _find_quota_refusal(self, job):
        """Return the `Failure` of a job that exceeds its quota, None for others."""
        current = self.configuration.current
        workspace = current.workspaces.get(job.workspace) if current else None
        if workspace is None:
            return None
        problem = find_quota_problem(job.spec, workspace.quota)
        if not problem:
            return None
        return Failure(
            kind=ErrorKind.QUOTA_EXCEEDED, detail=problem, retry_after_s=QUOTA_RETRY_S
        )

    def _find_late_refusal(self, job):
        """Return the `Failure` of a job that ends too late, None for others."""
        excess_s = self.find_excess_s(job)
        if excess_s <= 0:
            return None
        spread = 1 + (RETRY_SPREAD - 1) * self.context.random.random()
        retry_s = min(max(excess_s, MIN_RETRY_S), MAX_RETRY_S) * spread
        return Failure(
            kind=ErrorKind.DEADLINE_UNMEETABLE,
            detail=f"the job would end {excess_s:.1f} s too late to be of use",
            retry_after_s=retry_s,
        )

    def find_excess_s(self, job) -> float:
        """Return by how much a job certainly ends too late, 0 if that is not known."""
        forecast = self.members.forecast
        if forecast is None:
            return 0.0
        received_s = self.context.clock.now() - self.members.waiting_received_s
        if forecast.age_s + received_s > FORECAST_VALID_S:
            return 0.0
        current = self.configuration.current
        workspace = current.workspaces.get(job.workspace) if current else None
        return find_excess_s(
            job.policy,
            job.workspace,
            job.spec,
            forecast.waits,
            quota=workspace.quota.cpu if workspace is not None else 0,
        )
