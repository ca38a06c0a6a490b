"""Jobs on their way from their acceptance to the scheduler of the leader."""

import asyncio

from absl import logging

__all__ = ["AcceptedJobs"]

RETRY_S = 0.2


class AcceptedJobs:
    """Holds jobs back until it is certain that this process led when they were stored.

    A successor takes jobs that were stored before its election for jobs that may run
    already, and others for new ones. A job that is stored after the election of a
    successor must therefore not be started by the process that it has replaced, which
    may hear of the job nevertheless.

    Parameters
    ----------
    session : DispatchSession
        Provides the proof of leadership and takes the jobs.
    epoch : int
        Epoch of the leader.
    """

    def __init__(self, *, session, epoch):
        self.session = session
        self.epochs = {epoch}
        self.held = {}
        self.cancelled = set()

    def add(self, job, epoch):
        """Pass a job on, now if it was stored under an epoch of this leadership.

        Parameters
        ----------
        epoch : int
            Epoch of the leader when the job was stored, 0 if it is not known.
        """
        if epoch in self.epochs:
            self.session.take_job(job)
            return
        waiting = bool(self.held)
        self.held[job.id] = job
        if not waiting:
            self.session.spawn(self._prove())

    def cancel(self, job_id) -> bool:
        """Note the cancellation of a job; return whether the job is held back."""
        if job_id in self.held:
            self.cancelled.add(job_id)
        return job_id in self.held

    async def _prove(self):
        """Pass the jobs on after a proof that was begun after they were stored."""
        while self.held:
            jobs = list(self.held.values())
            if not await self.session.election.proof.read():
                await asyncio.sleep(RETRY_S)
                continue
            for job in jobs:
                self._take(job)

    def _take(self, job):
        """Pass a held job on; an error in it must not hold back the others."""
        del self.held[job.id]
        cancelled = job.id in self.cancelled
        self.cancelled.discard(job.id)
        try:
            self.session.take_job(job)
            if cancelled:
                self.session.cancel(job.id)
        except Exception:
            logging.exception("job %s could not be added", job.id)
