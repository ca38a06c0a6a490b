"""Time by which the jobs of a soak test have to end, given the work that waits."""

__all__ = ["find_deadlines"]

# Time in which a job ends if there is room for it.
FINISH_TIMEOUT_S = 20.0
MILLICORES_PER_CORE = 1_000
# Part of the processors that waiting work can use: the eligibility service allows each
# step on two thirds of the runners, and gangs leave gaps.
USABLE_SHARE = 0.5


def find_deadlines(ledger, *, cpu, longest_run_s) -> dict[int, float]:
    """Return the time by which the jobs of each priority have to end.

    Parameters
    ----------
    ledger : SoakLedger
        Jobs and the tasks that have completed.
    cpu : int
        Processors of all runners in millicores.
    longest_run_s : float
        Time after which the caller of a lasting job cancels it, in seconds.

    Returns
    -------
    dict
        For each priority, a time of the ledger in seconds: `FINISH_TIMEOUT_S` after
        now, and later by the time that the work which goes first needs.
    """
    work_s = {}
    for record in ledger.jobs.values():
        priority = record.queue.priority
        work_s[priority] = work_s.get(priority, 0.0) + _find_work(record, longest_run_s)
    cores = USABLE_SHARE * cpu / MILLICORES_PER_CORE
    deadlines, first_s = {}, 0.0
    for priority in sorted(work_s):
        first_s += work_s[priority]
        deadlines[priority] = ledger.now() + FINISH_TIMEOUT_S + first_s / cores
    return deadlines


def _find_work(record, longest_run_s):
    """Return the processor time that a job still needs, in core-seconds."""
    over = record.refused or record.cancel_sent
    if over or (record.shown is not None and record.shown.final):
        return 0.0
    return sum(
        record.spec.steps[position].cpu
        / MILLICORES_PER_CORE
        * min(record.behaviours[position].work_s, longest_run_s)
        for occurrence, position, index in record.expected()
        if (occurrence, position, index) not in record.completed
    )
