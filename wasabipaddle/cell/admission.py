"""Admission of jobs by quota and forecast, at the process that received them."""

from result import Err, Ok

from wasabipaddle.cell.keys import JOB_PREFIX, REFUSAL_PREFIX
from wasabipaddle.dispatch.forecast import find_excess_s
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import find_quota_problem

__all__ = ["Admission", "RefusalMarks"]

# Age from which a forecast is not used.
FORECAST_VALID_S = 1.5
# Limits of the time after which a refused caller may try again, and the factor up to
# which it is spread, so that callers do not return together.
MIN_RETRY_S = 1.0
MAX_RETRY_S = 20.0
RETRY_SPREAD = 2.0
# Time after which a caller may try again whose job exceeds its quota, which people set.
QUOTA_RETRY_S = 60.0
# Duration of the store lease of refusals, and time for which a lease is used for new
# ones. Writes that were sent before a refusal and have not taken effect within the
# difference are lost.
MARK_LEASE_S = 90.0
MARK_LEASE_USE_S = 30.0


class RefusalMarks:
    """Marks in the store that make refusals hold.

    An earlier submission of the same job may have sent a write that takes effect late.
    A job is therefore created under the condition that it has no mark, and refused only
    once the mark is stored under the condition that the job does not exist.

    Parameters
    ----------
    context : Context
        Services of the process.
    store_plugin : CellStorePlugin
        The store.
    """

    def __init__(self, *, context, store_plugin):
        self.context = context
        self.store_plugin = store_plugin
        self.lease = 0
        self.renew_s = 0.0

    async def set(self, job_id) -> bool:
        """Mark a job as refused; return whether it certainly does not exist."""
        store = self.store_plugin.store
        now = self.context.clock.now()
        if now >= self.renew_s:
            lease = await self.store_plugin.call(store.grant_lease(MARK_LEASE_S))
            if lease.is_err():
                return False
            self.lease = lease.ok()
            self.renew_s = now + MARK_LEASE_USE_S
        put = Put(key=REFUSAL_PREFIX + job_id, value=b"{}", lease=self.lease)
        stored = await self.store_plugin.call(
            store.commit(conditions=((JOB_PREFIX + job_id, 0),), puts=(put,))
        )
        if stored.is_err() and stored.err().kind is ErrorKind.NOT_FOUND:
            self.renew_s = 0.0
        return stored.is_ok()

    async def replace(self, job_id, put, *, is_new):
        """Create the key of a job in place of its mark.

        Parameters
        ----------
        is_new : bool
            Whether the submission has not tried to create the key before. Otherwise
            the mark may be the answer to a repetition of the same submission, and
            holds.

        Returns
        -------
        result.Result
            Whether there was a mark to replace, or an `Err`: of kind `timeout` if the
            mark cannot be read, so that the job may exist, and of kind
            `deadline_unmeetable` if the mark holds.
        """
        store, key = self.store_plugin.store, REFUSAL_PREFIX + job_id
        mark = await self.store_plugin.call(store.get(key))
        if mark.is_err():
            detail = "the refusal of the job could not be read"
            return Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))
        if mark.ok() is None:
            return Ok(False)
        revision = mark.ok().revision
        if not is_new:
            self.context.journal("refusal_kept", job=job_id, revision=revision)
            return Err(
                Failure(
                    kind=ErrorKind.DEADLINE_UNMEETABLE,
                    detail="a repetition of the submission has been refused",
                    retry_after_s=MIN_RETRY_S,
                )
            )
        conditions = ((put.key, 0), (key, revision))
        stored = await self.store_plugin.call(
            store.commit(conditions=conditions, puts=(put,), deletes=(key,))
        )
        self.context.journal(
            "refusal_replaced",
            job=job_id,
            revision=revision,
            failure=stored.err().kind.value if stored.is_err() else None,
        )
        return stored.map(lambda _: True)


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
