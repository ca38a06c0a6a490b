"""State of the submission of a job over several tries to store it."""

import attrs

from wasabipaddle.jobs import Job

__all__ = ["Submission"]


@attrs.define(kw_only=True)
class Submission:
    """A call that hands a job in.

    A mark in the store says that a call was told that the job does not run, as a
    refused submission or a cancellation that found no job. One that was set before this
    submission began is replaced by the job. One that was set since then is the answer
    to a later call, which the caller may have seen: it holds.

    Parameters
    ----------
    job : Job
        Job to store.
    is_new : bool
        Whether nothing has been tried yet, so that a mark that is found was set before.
    known_revision : int
        Revision of the store up to which marks were set before the submission: the
        highest one that this process had seen by then.
    """

    job: Job
    is_new: bool = True
    known_revision: int = 0

    def may_replace(self, revision) -> bool:
        """Return whether the submission replaces a mark, and remember that it does.

        A commit that replaces the mark may get no answer and not have taken effect when
        the mark is found again.

        Parameters
        ----------
        revision : int
            Revision of the mark.
        """
        if self.is_new:
            self.known_revision = max(self.known_revision, revision)
        return revision <= self.known_revision
