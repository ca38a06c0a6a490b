"""Marks in the store that make refusals of jobs hold."""

from result import Err, Ok

from wasabipaddle.cell.keys import JOB_PREFIX, REFUSAL_PREFIX
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import Put

__all__ = ["MARK_LEASE_S", "MIN_RETRY_S", "RefusalMarks"]

# Shortest time after which a refused caller may try again.
MIN_RETRY_S = 1.0
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
