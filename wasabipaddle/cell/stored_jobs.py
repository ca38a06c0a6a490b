"""Stored jobs on behalf of calls, which reach jobs of their workspace only."""

import msgspec
from result import Err, Ok

from wasabipaddle.cell.keys import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    LEADER_KEY,
    PROGRESS_PREFIX,
    REFUSAL_PREFIX,
)
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import (
    JobPhase,
    decode_job,
    decode_progress,
    encode_job,
    may_reach,
)
from wasabipaddle.messages.jobs import PhaseReply

__all__ = [
    "build_phase_reply",
    "check_existing_job",
    "create_job",
    "find_stored_phase",
    "store_cancellation",
]


def build_phase_reply(entry) -> PhaseReply:
    """Return the reply about a `JobEntry` of the dispatcher, or about None."""
    if entry is None:
        return PhaseReply()
    return PhaseReply(
        phase=entry.visible_phase,
        queue=entry.job.policy.name,
        workspace=entry.job.workspace,
    )


async def check_existing_job(store_plugin, configuration, job):
    """Check that a job that could not be created exists for the same workspace.

    Returns
    -------
    result.Result
        An `Err` of kind `conflict` if the identifier is in use by a job that the caller
        does not reach, or of kind `timeout` if no job is found, as after the end of the
        mark that kept it from being created, or if the store does not answer.
    """
    found = await store_plugin.call(store_plugin.store.get(JOB_PREFIX + job.id))
    if found.is_err() or found.ok() is None:
        return _failure(ErrorKind.TIMEOUT, "the existing job could not be read")
    queue, workspace = job.policy.name, job.workspace
    if not _may_reach_stored(configuration, queue, workspace, found.ok()):
        return _failure(ErrorKind.CONFLICT, "the identifier is in use")
    return Ok(None)


async def find_stored_phase(store_plugin, configuration, queue, job_id, *, workspace):
    """Return the phase of a job that the store shows.

    Returns
    -------
    result.Result
        The `JobPhase`, or an `Err`; of kind `gone` if there is no such job or the call
        does not reach it.
    """
    store = store_plugin.store
    progress = await store_plugin.call(store.get(PROGRESS_PREFIX + job_id))
    phase = None
    if progress.is_ok() and progress.ok() is not None:
        decoded = decode_progress(progress.ok().value)
        phase = decoded.phase if decoded is not None else None
    if phase is not None and not (configuration.requires_keys or workspace):
        return Ok(phase)
    job = await store_plugin.call(store.get(JOB_PREFIX + job_id))
    if job.is_err() or progress.is_err():
        return Err((job if job.is_err() else progress).err())
    if not _may_reach_stored(configuration, queue, workspace, job.ok()):
        return _failure(ErrorKind.GONE, "no such job")
    return Ok(phase or JobPhase.QUEUED)


async def store_cancellation(
    store_plugin, configuration, queue, job_id, *, workspace, wall_ms, marks
):
    """Write the key of a cancellation; repeating the write is harmless.

    A job that does not exist is marked as refused before the answer says so, since a
    submission of it may have sent a commit that takes effect late.

    Returns
    -------
    result.Result
        None, or an `Err`; of kind `gone` if there is no such job or the call does not
        reach it.
    """
    store = store_plugin.store
    found = await store_plugin.call(store.get(JOB_PREFIX + job_id))
    if found.is_err():
        return found
    if found.ok() is None and not await marks.set(job_id):
        return _failure(ErrorKind.TIMEOUT, "the job may come to exist")
    if not _may_reach_stored(configuration, queue, workspace, found.ok()):
        return _failure(ErrorKind.GONE, "no such job")
    put = Put(key=CANCEL_PREFIX + job_id, value=msgspec.json.encode(wall_ms))
    stored = await store_plugin.call(store.commit(puts=(put,)))
    return stored.map(lambda _: None)


def _may_reach_stored(configuration, queue, workspace, entry) -> bool:
    """Return whether a call reaches the job in an `Entry` of the store, or None.

    A job that cannot be decoded has an unknown workspace.
    """
    if entry is None:
        return False
    if not (configuration.requires_keys or workspace):
        return True
    job = decode_job(entry.value)
    return job is not None and may_reach(
        configuration,
        queue,
        workspace,
        owner=job.workspace,
        owner_queue=job.policy.name,
    )


def _failure(kind, detail):
    return Err(Failure(kind=kind, detail=detail))


async def create_job(store_plugin, submission, *, epoch, marks, configuration):
    """Create the key of a job unless it exists.

    Parameters
    ----------
    store_plugin : CellStorePlugin
        The store.
    submission : Submission
        Submission of the job.
    epoch : int
        Epoch of the leader under which the key is created if possible, 0 if no leader
        is known.
    marks : RefusalMarks
        Marks of refusals, which a later submission replaces.
    configuration : CellConfiguration
        Current configuration.

    Returns
    -------
    result.Result
        Epoch under which the key was created, 0 if it is not known; or an `Err` if the
        key may not exist.
    """
    job = submission.job
    absent = ((JOB_PREFIX + job.id, 0), (REFUSAL_PREFIX + job.id, 0))
    put = Put(key=JOB_PREFIX + job.id, value=encode_job(job))
    if epoch:
        conditions = (*absent, (LEADER_KEY, epoch))
        stored = await store_plugin.commit(conditions=conditions, puts=(put,))
        if stored.is_ok():
            return Ok(epoch)
        if stored.err().kind is not ErrorKind.REVISION_MISMATCH:
            return stored
    stored = await store_plugin.commit(conditions=absent, puts=(put,))
    if stored.is_ok():
        return Ok(0)
    if stored.err().kind is not ErrorKind.REVISION_MISMATCH:
        return stored
    replaced = await marks.replace(submission, put)
    if replaced.is_err() or replaced.ok():
        return replaced.map(lambda _: 0)
    existing = await check_existing_job(store_plugin, configuration, job)
    return existing.map(lambda _: 0)
