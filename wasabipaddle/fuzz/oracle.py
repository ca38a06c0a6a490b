"""Oracle that checks the invariants of a cell against a `History`.

Each public generator checks one invariant and yields one line for each violation. The
names of the functions are the names of the invariants.
"""

import collections
import itertools

import attrs

from wasabipaddle.documents import Resources
from wasabipaddle.exceptions import Outcome
from wasabipaddle.messages import RunOutcome
from wasabipaddle.standins import CutOffCause, Discard, WorkKind

__all__ = ["INVARIANTS", "Violation", "find_violations"]

LEAVE_BOUND_S = 3.0
APPLY_BOUND_S = 19.0


@attrs.frozen(kw_only=True)
class Violation:
    """Violation of an invariant."""

    invariant: str
    detail: str


def no_vm_overfilled(history):
    """Yield VMs whose load exceeded their resources or slots (invariant 1)."""
    ledger = history.ledger
    for place, executions in _group_by(ledger.executions, "place").items():
        times = {e.started_s for e in executions}
        times.update(r.time_s for e in executions for r in e.resized)
        for time_s in sorted(times):
            running = [e for e in executions if e.started_s <= time_s < _end_time(e)]
            held = sum((_needs_at(e, time_s) for e in running), Resources())
            slots = sum(e.kind is WorkKind.REQUEST for e in running)
            capacity = ledger.capacities.get(place, held)
            if not held.fits(capacity) or slots > ledger.slots.get(place, slots):
                yield f"{place} holds {held} and {slots} requests at {time_s:.3f}"


def no_task_in_two_places(history):
    """Yield tasks with two executions at the same time (invariant 2)."""
    for work, executions in _group_by(_task_executions(history), "work").items():
        for one, other in itertools.combinations(executions, 2):
            later = max(one.started_s, other.started_s)
            if later < min(_end_time(one), _end_time(other)):
                yield f"{work} runs on {one.place} and {other.place} at {later:.3f}"


def answers_are_whole(history):
    """Yield requests with a truncated or foreign answer (invariant 3)."""
    for request in history.requests:
        if request.result is not None and request.result.is_ok():
            pattern = f"{request.request}\n".encode()
            repeats = request.answer_bytes // len(pattern) + 1
            if request.result.unwrap() != (pattern * repeats)[: request.answer_bytes]:
                yield f"{request.request} got {request.result.unwrap()[:60]!r}"


def refusals_are_true(history):
    """Yield work that was executed although refused as "not run" (invariant 4)."""
    executed = {e.work for e in history.ledger.executions}
    started = {e.work.partition("/")[0] for e in _task_executions(history)}
    for request in history.requests:
        if request.result is not None and request.result.is_err():
            failure = request.result.unwrap_err()
            if failure.outcome is Outcome.NOT_RUN and request.request in executed:
                yield f"{request.request} was refused with {failure}"
    for run in history.runs:
        doubtful = run.runs or run.waiting
        refused = all(f.outcome is Outcome.NOT_RUN for f in run.refusals)
        if run.key in started and refused and not doubtful:
            yield f"{run.key} was refused with {run.refusals}"


def non_idempotent_runs_once(history):
    """Yield non-idempotent requests that were executed repeatedly (invariant 5)."""
    by_work = _group_by(history.ledger.executions, "work")
    for request in history.requests:
        places = [e.place for e in by_work.get(request.request, ())]
        if len(places) > 1 and not request.idempotent:
            yield f"{request.request} ran on {places}"


def leaving_endpoint_gets_no_work(history):
    """Yield requests that started on a departing endpoint (invariant 6).

    Requests that start within `LEAVE_BOUND_S` after the VM list shows the departure
    are allowed.
    """
    by_place = _group_by(history.ledger.executions, "place")
    for leave in history.leaves:
        for execution in by_place.get(leave.endpoint, ()):
            late_s = execution.started_s - leave.listed_s
            if late_s > LEAVE_BOUND_S and execution.started_s < leave.until_s:
                yield f"{execution.work} starts {late_s:.2f} s late on {leave.endpoint}"


def planned_stop_cuts_nothing_off(history):
    """Yield requests that a planned stop interrupted (invariant 7)."""
    for cut in history.ledger.cut_offs:
        if cut.cause is CutOffCause.PLANNED_STOP:
            yield f"{cut.request} was cut off by the stop of {cut.place}"
    for request in history.requests:
        if request.stopped:
            yield f"{request.request} was cut off by the stop of {request.process}"


def documents_come_into_force(history):
    """Yield edits that a process applied too late or reverted (invariant 8).

    A process that can use the store must apply an edit within `APPLY_BOUND_S`.
    """
    applied = _group_by(history.applied, "process")
    for process, revisions in applied.items():
        for service, steps in _group_by(revisions, "service").items():
            for before, after in itertools.pairwise(steps):
                if after.revision <= before.revision:
                    yield f"{service} reverts to {after.revision} on {process}"
    for edit, reach in itertools.product(history.edits, history.reaches):
        due_s = max(edit.time_s, reach.since_s) + APPLY_BOUND_S
        if due_s < reach.until_s and not any(
            a.service == edit.service
            and a.revision >= edit.revision
            and a.time_s <= due_s
            for a in applied.get(reach.process, ())
        ):
            yield f"{edit.service} {edit.revision} is late on {reach.process}"


def documents_are_the_same(history):
    """Yield processes whose revisions differ from those in the store at the end."""
    if history.ended:
        stored = history.revisions["store"]
        for process, revisions in history.revisions.items():
            if revisions != stored:
                yield f"{process} has {revisions}, the store {stored}"


def _is_lost(execution):
    """Return whether a result was lost with its VM before it was reported.

    A reported result may count as completed, even if the VM was lost before it
    received the acknowledgement.
    """
    return execution.discarded is Discard.VM_GONE and not execution.reported


def accepted_work_ends(history):
    """Yield accepted runs that are lost, doubled or end with a wrong outcome."""
    tasks = _group_by(_task_executions(history), "work")
    for run in history.runs:
        if len(run.runs) > 1:
            yield f"{run.key} became the runs {sorted(run.runs)}"
        works = [f"{run.key}/{i}" for i in range(run.tasks)]
        done = [[e for e in tasks.get(w, ()) if e.completed] for w in works]
        if any(sum(e.discarded is None for e in d) > 1 for d in done):
            yield f"{run.key} completed twice"
        if not history.ended or not run.runs:
            continue
        lost = any(all(map(_is_lost, executions)) for executions in done)
        if run.outcome is RunOutcome.COMPLETED and lost:
            yield f"{run.key} is reported as completed, but a task is not"
        if run.outcome is None or (
            run.outcome is not RunOutcome.COMPLETED and not run.released
        ):
            yield f"{run.key} of {run.service} ends as {run.outcome}"


def accepted_requests_are_answered(history):
    """Yield requests that have no answer at the end."""
    if history.ended:
        for request in history.requests:
            if request.result is None:
                yield f"{request.request} has no answer"


def no_task_fails_unhandled(history):
    """Yield the unhandled exceptions of tasks."""
    yield from history.errors


INVARIANTS = (
    no_vm_overfilled,
    no_task_in_two_places,
    answers_are_whole,
    refusals_are_true,
    non_idempotent_runs_once,
    leaving_endpoint_gets_no_work,
    planned_stop_cuts_nothing_off,
    documents_come_into_force,
    documents_are_the_same,
    accepted_work_ends,
    accepted_requests_are_answered,
    no_task_fails_unhandled,
)


def find_violations(history) -> list[Violation]:
    """Return every violation of an invariant in a `History`."""
    return [
        Violation(invariant=check.__name__, detail=detail)
        for check in INVARIANTS
        for detail in check(history)
    ]


def _task_executions(history):
    return [e for e in history.ledger.executions if e.kind is WorkKind.TASK]


def _group_by(items, name):
    groups = collections.defaultdict(list)
    for item in items:
        groups[getattr(item, name)].append(item)
    return groups


def _end_time(execution):
    return float("inf") if execution.ended_s is None else execution.ended_s


def _needs_at(execution, time_s):
    sizes = [r.needs for r in execution.resized if r.time_s <= time_s]
    return sizes[-1] if sizes else execution.needs
