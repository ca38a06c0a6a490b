"""Content of the stored fleet record, and the jobs that wait for suspect runners."""

import functools

import attrs

from wasabipaddle.interfaces.store import MAX_VALUE_BYTES
from wasabipaddle.jobs import RecordedRunner

__all__ = ["NO_SUSPECTED_RUNS", "SuspectedRuns", "runners_to_record"]

# Jobs that the record names for a runner; with more, any job may have runs there.
MAX_RECORDED_JOBS = 64
# Bytes of the names in all rows; the rest of the value is for what else they hold.
MAX_NAMED_BYTES = MAX_VALUE_BYTES // 2


def runners_to_record(state, now, *, with_waits, term=0):
    """Return the runners that may have work, for the stored fleet record.

    A runner that leaves or has left, and has no runs, is left out: a successor need not
    wait for it. One that leaves and has runs is recorded with their jobs, since it gets
    no further work and no other job need wait for it. Rows beyond `MAX_NAMED_BYTES`
    name no jobs, so that any job waits. The wait for a suspect runner goes on over
    several takeovers, since no dispatcher can have given it work in the meantime.

    Parameters
    ----------
    with_waits : bool
        Whether to record the remaining wait for suspect runners. A runner with a
        recorded wait must be recorded again before it gets work.
    term : int
        Term of this dispatcher, recorded with waits and jobs.

    Returns
    -------
    list of RecordedRunner
    """
    recorded, named_bytes = [], 0
    for runner in state.runners.values():
        suspect = runner.id in state.suspects
        if not suspect and not _may_have_work(runner):
            continue
        wait_s = None
        if suspect and with_waits:
            wait_s = max(state.suspected_until_s(runner.id) - now, 0.0)
        jobs = _find_only_jobs(runner, suspect=suspect)
        make_row = functools.partial(
            _make_row, runner, wait_s=wait_s, term=term, suspect=suspect
        )
        row = make_row(jobs=jobs)
        if named_bytes + row.jobs_bytes > MAX_NAMED_BYTES:
            row = make_row(jobs=None)
        named_bytes += row.jobs_bytes
        recorded.append(row)
    return recorded


def _make_row(runner, *, wait_s, jobs, term, suspect):
    """Return the row of a runner; a suspect one stays in the pool of its runs."""
    row_term = 0 if wait_s is None and jobs is None else term
    entry = runner.entry
    if suspect and runner.recorded_pool is not None:
        entry = attrs.evolve(entry, pool=runner.recorded_pool)
    return RecordedRunner.create(entry, wait_s=wait_s, jobs=jobs, term=row_term)


def _may_have_work(runner):
    """Return whether a runner may get work, or has runs or unacknowledged ends."""
    return (
        runner.stays
        or bool(runner.runs)
        or bool(runner.pending_acknowledgements)
        or runner.lists_unknown_tasks
    )


def _find_only_jobs(runner, *, suspect):
    """Return the only jobs that may have runs on a runner, None if any job may.

    Jobs of an earlier record are kept, so that it is not written at each end of a run.
    """
    if runner.lists_unknown_tasks:
        return None
    if runner.recorded_jobs is None and suspect:
        return None
    if runner.stays and not suspect:
        return None
    jobs = {run.task.id.job for run in runner.runs.values()}
    jobs.update(*(ended for _, _, ended in runner.pending_acknowledgements))
    jobs.update(runner.recorded_jobs or ())
    return tuple(sorted(jobs)) if len(jobs) <= MAX_RECORDED_JOBS else None


@attrs.frozen(kw_only=True)
class SuspectedRuns:
    """Jobs that may have runs on suspect runners.

    Parameters
    ----------
    pools : frozenset
        Pools of the suspect runners on which any job may have runs, with None for an
        unknown pool.
    jobs : frozenset of str
        Jobs that may have runs on the other suspect runners.
    """

    pools: frozenset = frozenset()
    jobs: frozenset = frozenset()

    @classmethod
    def find(cls, state):
        """Return the jobs that may have runs on the suspect runners of now."""
        pools, jobs = set(), set()
        for runner in map(state.runners.get, state.suspects):
            if runner is None:
                pools.add(None)
            elif runner.recorded_jobs is None:
                pools.add(runner.entry.pool)
                if runner.recorded_pool is not None:
                    pools.add(runner.recorded_pool)
            else:
                jobs |= runner.recorded_jobs
        return cls(pools=frozenset(pools), jobs=frozenset(jobs))

    def may_include(self, entry) -> bool:
        """Return whether tasks of a job may run on a suspect runner.

        Only tasks of jobs from before the takeover may, and, unless the record names
        the jobs, only on runners of the pools to which the queue has sent the job.
        """
        if not entry.recovered or not (self.pools or self.jobs):
            return False
        if entry.id in self.jobs or None in self.pools:
            return True
        used = {entry.queue.pool, entry.job.policy.pool, *entry.pools}
        return not used.isdisjoint(self.pools)


NO_SUSPECTED_RUNS = SuspectedRuns()
