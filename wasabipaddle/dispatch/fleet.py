"""Content of the stored fleet record, and the jobs that wait for suspect runners."""

from wasabipaddle.jobs import RecordedRunner

__all__ = ["runners_to_record", "waits_for_suspects"]


def runners_to_record(state, now, *, with_waits, term=0):
    """Return the runners that may have work, for the stored fleet record.

    A runner that leaves or has left, and has no runs, is left out: a successor need not
    wait for it. The wait for a suspect runner goes on over several takeovers, since no
    dispatcher can have given it work in the meantime.

    Parameters
    ----------
    with_waits : bool
        Whether to record the remaining wait for suspect runners. A runner with a
        recorded wait must be recorded again before it gets work.
    term : int
        Term of this dispatcher, recorded with the waits.

    Returns
    -------
    list of RecordedRunner
    """
    recorded = []
    for runner in state.runners.values():
        suspect = runner.id in state.suspects
        if suspect and with_waits:
            wait_s = max(state.suspects[runner.id] - now, 0.0)
            row = RecordedRunner.create(runner.entry, wait_s=wait_s, term=term)
            recorded.append(row)
        elif suspect or _may_have_work(runner):
            recorded.append(RecordedRunner.create(runner.entry))
    return recorded


def _may_have_work(runner):
    """Return whether a runner may get work, or has runs or unacknowledged ends."""
    staying = runner.listed and not runner.entry.draining and not runner.exited
    return (
        staying
        or bool(runner.runs)
        or bool(runner.pending_acknowledgements)
        or runner.lists_unknown_tasks
    )


def waits_for_suspects(state, step) -> bool:
    """Return whether tasks of a step may run on a runner that has not answered.

    Only tasks of jobs from before the takeover may, and only on runners of the pools to
    which the queue has sent the job.
    """
    if not step.job.recovered or not state.suspects:
        return False
    job = step.job
    pools = {job.queue.pool, job.job.policy.pool, *job.pools}
    suspects = map(state.runners.get, state.suspects)
    return any(r is None or r.entry.pool in pools for r in suspects)
