"""Submissions of jobs, and what is in doubt about them after tries to store them."""

import attrs

from wasabipaddle.jobs import Job

__all__ = ["JobsInDoubt", "Submission"]

# Time after a submission for which its commits without an answer may take effect.
IN_DOUBT_S = 60.0
MAX_IN_DOUBT = 10_000


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


class JobsInDoubt:
    """Jobs that a commit of this process may yet create.

    Parameters
    ----------
    clock : Clock
        Provides the time.

    Attributes
    ----------
    until_s : dict of str to float
        Time until which each job is in doubt, the earliest first; at most
        `MAX_IN_DOUBT` jobs.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.until_s = {}

    def add(self, job_id):
        """Record that a commit of a job has got no answer."""
        self.discard(job_id)
        self.until_s[job_id] = self.clock.now() + IN_DOUBT_S
        while len(self.until_s) > MAX_IN_DOUBT or self._first_has_passed():
            del self.until_s[next(iter(self.until_s))]

    def _first_has_passed(self):
        return next(iter(self.until_s.values())) <= self.clock.now()

    def discard(self, job_id):
        """Record that no commit of a job is in doubt."""
        self.until_s.pop(job_id, None)

    def __contains__(self, job_id):
        return self.until_s.get(job_id, 0.0) > self.clock.now()
