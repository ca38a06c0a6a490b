"""Marks in the store that make refusals of jobs hold."""

from result import Err, Ok

from wasabipaddle.cell.keys import JOB_PREFIX, REFUSAL_PREFIX
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import Put

__all__ = ["MARK_LEASE_S", "MIN_RETRY_S", "RefusalMarks"]

# Shortest time after which a refused caller may try again.
MIN_RETRY_S = 1.0
# Duration of the store lease of marks, and time for which a lease is used for new ones.
# A refusal holds against commits in doubt that take effect within the difference.
MARK_LEASE_S = 90.0
MARK_LEASE_USE_S = 30.0


class RefusalMarks:
    """Marks in the store that make refusals hold.

    An earlier try or submission of the same job may have sent a commit that takes
    effect late. A job is therefore created under the condition that it has no mark, or
    that its mark has a known revision, and refused only once a new mark is stored under
    the condition that the job does not exist. A mark that was only read proves nothing.
    The same holds for the answer that there is no job to cancel.

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
        stored = await self.store_plugin.commit(
            conditions=((JOB_PREFIX + job_id, 0),), puts=(put,)
        )
        if stored.is_err() and stored.err().kind is ErrorKind.NOT_FOUND:
            self.renew_s = 0.0
        return stored.is_ok()

    async def replace(self, submission, put):
        """Create the key of a job in place of the mark of an earlier refusal.

        Parameters
        ----------
        submission : Submission
            Submission of the job.
        put : Put
            Key and value of the job.

        Returns
        -------
        result.Result
            Whether there was a mark to replace, or an `Err`: of kind
            `deadline_unmeetable` if the job is refused, of kind `timeout` if it may
            exist or come to exist, or another one of the commit.
        """
        store, job_id = self.store_plugin.store, submission.job.id
        key = REFUSAL_PREFIX + job_id
        mark = await self.store_plugin.call(store.get(key))
        if mark.is_err():
            return _in_doubt("the refusal of the job could not be read")
        if mark.ok() is None:
            return Ok(False)
        revision = mark.ok().revision
        if not submission.may_replace(revision):
            return await self._refuse_again(job_id, revision)
        conditions = ((put.key, 0), (key, revision))
        stored = await self.store_plugin.commit(
            conditions=conditions, puts=(put,), deletes=(key,)
        )
        self.context.journal(
            "refusal_replaced",
            job=job_id,
            revision=revision,
            failure=stored.err().kind.value if stored.is_err() else None,
        )
        if stored.is_err() and stored.err().kind is ErrorKind.REVISION_MISMATCH:
            return _in_doubt("the job or its refusal has changed meanwhile")
        return stored.map(lambda _: True)

    async def _refuse_again(self, job_id, revision):
        """Refuse a submission because of a mark that it may not replace.

        The mark is set anew. Commits in doubt, of this process or another, may have the
        present one as their condition, or take effect after its lease has ended.
        """
        renewed = await self.set(job_id)
        self.context.journal(
            "refusal_kept", job=job_id, revision=revision, renewed=renewed
        )
        if not renewed:
            return _in_doubt("the refusal of the job could not be set anew")
        return Err(
            Failure(
                kind=ErrorKind.DEADLINE_UNMEETABLE,
                detail="a later call has been told that the job does not run",
                retry_after_s=MIN_RETRY_S,
            )
        )


def _in_doubt(detail):
    return Err(Failure(kind=ErrorKind.TIMEOUT, detail=detail))
