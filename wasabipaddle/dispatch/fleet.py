"""Content of the stored fleet record, and the jobs that wait for suspect runners."""

from wasabipaddle.jobs import RecordedRunner

__all__ = [
    "may_run_on_suspects",
    "runners_to_record",
    "suspected_pools",
    "waits_for_suspects",
]


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
    """Return whether tasks of a step may run on a runner that has not answered."""
    if not step.job.recovered or not state.suspects:
        return False
    return may_run_on_suspects(step.job, suspected_pools(state))


def may_run_on_suspects(entry, pools) -> bool:
    """Return whether tasks of a job may run on suspect runners of these pools.

    Only tasks of jobs from before the takeover may, and only on runners of the pools to
    which the queue has sent the job.

    Parameters
    ----------
    pools : set
        Result of `suspected_pools`.
    """
    if not entry.recovered:
        return False
    used = {entry.queue.pool, entry.job.policy.pool, *entry.pools}
    return None in pools or not used.isdisjoint(pools)


def suspected_pools(state):
    """Return the pools of the suspect runners, with None for an unknown pool."""
    suspects = map(state.runners.get, state.suspects)
    return {None if r is None else r.entry.pool for r in suspects}
