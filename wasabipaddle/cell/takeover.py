"""Recovery of the stored state of the previous dispatcher."""

import asyncio

from wasabipaddle.cell.keys import PROGRESS_PREFIX
from wasabipaddle.jobs import decode_progress

__all__ = ["PROOF_LIMIT_S", "load_fleet", "load_progress"]

# Longest age of the proof of leadership with which a leader grants leases and starts
# tasks. Leases then outlast the 4.5 s for which the store may be away for everybody; a
# successor waits for this time and a lease before it starts recovered tasks that may
# run on a runner that it does not reach.
PROOF_LIMIT_S = 3.0
# Margin of that wait, for the time that a runner needs to end runs.
SUCCESSOR_MARGIN_S = 0.2
# Factor on a lease that allows for drift between the clocks of runner and dispatcher.
CLOCK_DRIFT_FACTOR = 1.02
RETRY_S = 0.2


async def load_fleet(session):
    """Add all runners of the stored fleet record, and mark them as suspect.

    The registry may no longer list some of them, but they may run tasks of the previous
    dispatcher until the leases that it granted have expired. A runner that did not
    answer the previous dispatcher either has only those of earlier ones. A runner that
    was about to leave has only runs of the recorded jobs. A row without an address is
    of a runner that can only be waited for. All waits last from the begin of this
    leadership: no proof of an earlier one, and no recorded wait, is younger.
    """
    state = session.scheduler.state
    lease_s = state.timing.lease_s * CLOCK_DRIFT_FACTOR
    lease_wait_s = PROOF_LIMIT_S + lease_s + SUCCESSOR_MARGIN_S
    for row in await session.fleet.load():
        by_predecessor = row.term == session.term - 1
        if row.address:
            runner = session.scheduler.set_runner(row.entry, session.now())
            runner.listed = False
            runner.recorded_pool = row.pool
            runner.in_fleet_record = row.wait_s is None
            if row.jobs is not None and by_predecessor:
                runner.recorded_jobs = frozenset(row.jobs)
        wait_s = lease_wait_s
        if row.wait_s is not None and by_predecessor:
            wait_s = min(row.wait_s, lease_wait_s)
        until_s = session.began_s + wait_s
        state.suspects[row.id] = max(state.suspects.get(row.id, 0.0), until_s)


async def load_progress(session):
    """Read the stored progress of all jobs, with retries until the store responds."""
    store_plugin, writer = session.store_plugin, session.writer
    while True:
        page = await store_plugin.call(store_plugin.store.list_all(PROGRESS_PREFIX))
        if page.is_ok():
            break
        await asyncio.sleep(RETRY_S)
    for entry in page.ok().entries:
        job_id = entry.key.removeprefix(PROGRESS_PREFIX)
        writer.revisions[job_id] = entry.revision
        report = store_plugin.unreadable.reporter("progress", entry.key)
        progress = decode_progress(entry.value, report=report)
        if progress is not None:
            session.progress[job_id] = progress
