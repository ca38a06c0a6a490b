"""Which workspace a call acts for, and which jobs it may reach."""

from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs.configuration import digest_key

__all__ = ["identify_workspace", "may_reach", "requires_key"]


def requires_key(configuration, queue) -> bool:
    """Return whether calls to a queue need a key."""
    return configuration.requires_keys and not queue.public


def identify_workspace(configuration, queue, key) -> Result[str, Failure]:
    """Return the name of the workspace for which a call acts.

    Parameters
    ----------
    configuration : CellConfiguration
        Current configuration.
    queue : Queue
        Queue that the call selects.
    key : str or None
        Key that the call carries.

    Returns
    -------
    result.Result
        The name, empty if the queue needs no key; or an `Err` of kind
        `unauthenticated`, whose detail does not depend on the key.
    """
    if not requires_key(configuration, queue):
        return Ok("")
    workspace = configuration.by_key_digest.get(digest_key(key)) if key else None
    if workspace is None:
        detail = "the call has no key of a workspace"
        return Err(Failure(kind=ErrorKind.UNAUTHENTICATED, detail=detail))
    return Ok(workspace.name)


def may_reach(configuration, queue, workspace, *, owner, owner_queue) -> bool:
    """Return whether a call may learn of a job and change it.

    Parameters
    ----------
    configuration : CellConfiguration
        Current configuration.
    queue : str
        Name of the queue that the call selects.
    workspace : str
        Workspace for which the call acts, empty if the queue needs no key.
    owner : str or None
        Workspace of the job, empty if it was accepted without a key; None if it is not
        known.
    owner_queue : str
        Name of the queue that accepted the job.

    Notes
    -----
    A job that was accepted without a key is reached by every call that is admitted and
    names its identifier, also if its queue needs keys now. A job that was accepted with
    a key is reached without one if its own queue is public now.
    """
    if owner in ("", workspace):
        return True
    if not (configuration.requires_keys or workspace):
        return True
    if queue != owner_queue:
        return False
    selected = configuration.queue(queue)
    return selected is not None and selected.public
