"""Verdict on the executions in a ledger."""

import collections
import math

import attrs

from wasabipaddle.documents import Resources
from wasabipaddle.standins.ledger import CutOffCause, Discard, WorkKind

__all__ = ["Verdict", "compute_verdict"]


@attrs.frozen(kw_only=True)
class Verdict:
    """Counts over all recorded work.

    Parameters
    ----------
    accepted, completed, cancelled : int
        Work that was accepted, that completed, and that was cancelled. A completion
        whose result was lost with its VM does not count as completed.
    lost : int
        Accepted work that neither completed, nor was cancelled, nor was reported as
        failed because it cannot complete.
    doubled : int
        Tasks that completed more than once, and non-repeatable requests that were
        executed more than once. A completion of a task that the system could not
        learn of (VM lost or lease expired before the acknowledgement) does not count.
    two_places : int
        Tasks with two executions at the same time.
    overfilled : int
        VMs that exceeded their capacity or slots at some time.
    cut_off : int
        Requests that a planned stop cut off.
    cut_off_by_failure : int
        Requests that a failure or a closed connection cut off.
    reruns : int
        Completions after the first of each work, including those that the system
        could not learn of.
    pressured : int
        Workers whose actual memory usage exceeded their capacity at some time.
    """

    accepted: int
    completed: int
    cancelled: int
    lost: int
    doubled: int
    two_places: int
    overfilled: int
    cut_off: int
    cut_off_by_failure: int
    reruns: int
    pressured: int

    @property
    def clean(self) -> bool:
        """Whether no invariant was violated."""
        broken = (
            self.lost,
            self.doubled,
            self.two_places,
            self.overfilled,
            self.cut_off,
        )
        return not any(broken)


def compute_verdict(record) -> Verdict:
    """Compute the verdict on a `LedgerRecord`."""
    by_work = collections.defaultdict(list)
    by_place = collections.defaultdict(list)
    for execution in record.executions:
        by_work[execution.work].append(execution)
        by_place[execution.place].append(execution)
    done = {w for w, found in by_work.items() if any(map(_is_delivered, found))}
    released = record.cancelled | record.expected_failures
    planned = [c for c in record.cut_offs if c.cause is CutOffCause.PLANNED_STOP]
    return Verdict(
        accepted=len(record.accepted),
        completed=len(done),
        cancelled=len(record.cancelled),
        lost=len(record.accepted - done - released),
        doubled=sum(map(_is_doubled, by_work.values())),
        two_places=sum(map(_has_overlap, by_work.values())),
        overfilled=sum(_is_overfilled(record, p, e) for p, e in by_place.items()),
        cut_off=len(planned),
        cut_off_by_failure=len(record.cut_offs) - len(planned),
        reruns=sum(map(_count_reruns, by_work.values())),
        pressured=len(record.pressured),
    )


def _is_delivered(execution):
    return execution.completed and execution.discarded is not Discard.VM_GONE


def _count_reruns(executions):
    return max(0, sum(e.completed for e in executions) - 1)


def _is_doubled(executions):
    if executions[0].kind is WorkKind.REQUEST:
        return len(executions) > 1 and not executions[0].repeatable
    return sum(e.completed and e.discarded is None for e in executions) > 1


def _has_overlap(executions):
    tasks = [e for e in executions if e.kind is WorkKind.TASK]
    tasks.sort(key=lambda e: (e.started_s, _end(e)))
    latest = -math.inf
    for execution in tasks:
        if execution.started_s < latest:
            return True
        latest = max(latest, _end(execution))
    return False


def _end(execution):
    return math.inf if execution.ended_s is None else execution.ended_s


def _is_overfilled(record, place, executions):
    """Return whether a VM exceeded its capacity or slots at some time.

    Releases come before other changes at the same time.
    """
    capacity = record.capacities.get(place)
    limit = record.slots.get(place, math.inf)
    held, slots = Resources(), 0
    for change in sorted(_changes(executions), key=lambda c: (c.time_s, c.order)):
        held = held + change.amount
        slots += change.slots
        if capacity is not None and not held.fits(capacity):
            return True
        if slots > limit:
            return True
    return False


@attrs.frozen(kw_only=True)
class _Change:
    """Change of the reservations on a VM; `order` is 0 for a release."""

    time_s: float
    order: int
    amount: Resources = Resources()
    slots: int = 0


def _changes(executions):
    for execution in executions:
        if execution.kind is WorkKind.REQUEST:
            yield _Change(time_s=execution.started_s, order=1, slots=1)
            yield _Change(time_s=_end(execution), order=0, slots=-1)
            continue
        held = Resources()
        steps = [(execution.started_s, execution.needs)]
        steps.extend((r.time_s, r.needs) for r in execution.resized)
        steps.append((_end(execution), Resources()))
        for time_s, needs in steps:
            order = 0 if needs.fits(held) else 1
            yield _Change(time_s=time_s, order=order, amount=needs - held)
            held = needs
