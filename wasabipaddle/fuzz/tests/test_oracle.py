"""Mutation tests of the oracle: a deliberate fault in the code must be detected.

Each case runs a scenario on the unchanged code, where every invariant must hold, and
again with a replaced function, where the named invariant must be violated.
"""

import asyncio

import attrs
import pytest
from result import Ok

from wasabipaddle.clock import run_virtual
from wasabipaddle.documents import Resources
from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.fuzz import Edit, History, find_violations
from wasabipaddle.fuzz.cell import FuzzCell
from wasabipaddle.fuzz.faults import FaultInjector
from wasabipaddle.fuzz.history import AppliedRevision, SubmittedRun
from wasabipaddle.messages import RunOutcome
from wasabipaddle.placement import FleetIndex
from wasabipaddle.routing import Dispatcher
from wasabipaddle.routing.answers import AnswerCheck
from wasabipaddle.routing.connections import EndpointConnections
from wasabipaddle.routing.grants import GrantTable
from wasabipaddle.runs.acceptance import Acceptance
from wasabipaddle.runs.pool import WorkerPool
from wasabipaddle.serve.relay import RelayPlugin
from wasabipaddle.standins import Discard, Execution, LedgerRecord, WorkKind
from wasabipaddle.standins.tasks import TaskTable

SETTLE_S = 6.0


def run_scenario(scenario):
    """Run a scenario and return the names of the violated invariants.

    If the scenario returns True, faults are cleared and the end of work is checked.
    """

    async def main():
        cell = FuzzCell()
        faults = FaultInjector(cell=cell)
        await cell.start()
        await asyncio.sleep(SETTLE_S)
        if await scenario(cell, faults):
            await faults.clear_all()
            await cell.finish()
        cell.close_reachability()
        return {v.invariant for v in find_violations(cell.history)}

    return run_virtual(main())


async def submit_many(cell, faults):
    for _ in range(30):
        cell.submit_run("e00", "pages", run_s=3.0)
    await asyncio.sleep(20.0)


def inflate_sizes(patch):
    """Make the placer assume ten times the size of each worker."""
    add = FleetIndex.add_worker

    def add_large(self, name, *, size, **options):
        large = Resources(cpu_milli=10 * size.cpu_milli, memory_mb=10 * size.memory_mb)
        add(self, name, size=large, **options)

    patch.setattr(FleetIndex, "add_worker", add_large)


async def cut_worker(cell, faults):
    cell.submit_run("e00", "pages", run_s=12.0)
    await asyncio.sleep(2.0)
    busy = cell.ledger.record.executions[0].place
    cell.partition(cell.processes, [busy])
    await asyncio.sleep(30.0)


def treat_unreachable_as_lost(patch):
    """Make the leader treat an unreachable worker as lost."""
    expired = WorkerPool._leases_expired

    def unreachable_or_expired(self, member, now):
        return member.session.contact.failures > 0 or expired(self, member, now)

    patch.setattr(WorkerPool, "_leases_expired", unreachable_or_expired)


def endpoint_fault(fault, *, service="checks", count=4):
    async def scenario(cell, faults):
        for endpoint in cell.endpoints:
            faults.set_endpoint_fault(endpoint, fault)
        for _ in range(count):
            cell.send_request("e00", service, service_s=0.1)
        await asyncio.sleep(12.0)

    return scenario


def skip_answer_check(patch):
    """Make the entry process forward answers without a check."""
    patch.setattr(AnswerCheck, "failure", lambda self: None)


def report_unknown_as_not_run(patch):
    """Make the entry process report every unknown outcome as not run."""

    async def resolve_outcome(self, client, request, *, deadline):
        return Failure(kind=ErrorKind.UNREACHABLE)

    patch.setattr(EndpointConnections, "resolve_outcome", resolve_outcome)


def retry_non_idempotent(patch):
    """Make the entry process retry requests that are not idempotent."""
    patch.setattr(Dispatcher, "_may_retry", lambda self, job, failure: True)


async def leave_under_load(cell, faults):
    faults.leave_endpoint("dc0-p000")
    for _ in range(80):
        for _ in range(4):
            cell.send_request("e00", "checks", service_s=0.3)
        await asyncio.sleep(0.1)


def ignore_departures(patch):
    """Make the leader grant slots of departing endpoints."""
    patch.setattr(GrantTable, "mark_leaving", lambda self, endpoint: None)
    patch.setattr(Dispatcher, "drain_endpoints", lambda self, endpoints: None)


async def drain_under_load(cell, faults):
    cell.send_request("e00", "checks", service_s=4.0)
    await asyncio.sleep(1.0)
    faults.drain("e00")
    await asyncio.sleep(10.0)


def skip_drain(patch):
    """Make a planned stop end without waiting for requests in progress."""

    async def drain(self, *, timeout_s):
        self.draining = True

    patch.setattr(Dispatcher, "drain", drain)


async def edit_once(cell, faults):
    cell.edit(0, "pages")
    await asyncio.sleep(25.0)


def ignore_newer_documents(patch):
    """Make processes ignore that a peer has a later document revision."""
    patch.setattr(RelayPlugin, "_fetch_if_behind", lambda self, event: None)


async def submit_in_outage(cell, faults):
    faults.set_store_fault("hang")
    for _ in range(3):
        cell.submit_run("e00", "pages", run_s=1.0)
    await asyncio.sleep(1.0)
    for name in list(cell.processes):
        await faults.kill(name)
    return True  # a lost run is detected only at the end


def accept_before_commit(patch):
    """Make the leader accept a submission before its journal record is confirmed."""
    commit = Acceptance._commit

    def accept_first(self, message, document, envelope):
        commits, self.commits = self.commits, UnconfirmedCommits()
        commit(self, message, document, envelope)
        self.commits = commits

    patch.setattr(Acceptance, "_commit", accept_first)


class UnconfirmedCommits:
    """Confirms a record without appending it to the journal."""

    def append(self, record, confirm):
        """Confirm the record at once."""
        confirm(Ok(None))


CASES = {
    "no_vm_overfilled": (submit_many, inflate_sizes),
    "no_task_in_two_places": (cut_worker, treat_unreachable_as_lost),
    "answers_are_whole": (endpoint_fault("digest"), skip_answer_check),
    "refusals_are_true": (endpoint_fault("lost_answer"), report_unknown_as_not_run),
    "non_idempotent_runs_once": (endpoint_fault("lost_answer"), retry_non_idempotent),
    "leaving_endpoint_gets_no_work": (leave_under_load, ignore_departures),
    "planned_stop_cuts_nothing_off": (drain_under_load, skip_drain),
    "documents_come_into_force": (edit_once, ignore_newer_documents),
    "accepted_work_ends": (submit_in_outage, accept_before_commit),
}


@pytest.mark.parametrize("invariant", CASES)
def test_oracle_detects_each_mutation(invariant, monkeypatch):
    """Guards against an oracle that reports no violation whatever the cell does."""
    scenario, mutate = CASES[invariant]
    if invariant == "no_vm_overfilled":
        # The worker itself would refuse tasks that do not fit.
        monkeypatch.setattr(TaskTable, "fits", lambda self, needs: True)
    assert run_scenario(scenario) == set()
    mutate(monkeypatch)
    assert invariant in run_scenario(scenario)


def test_oracle_detects_reverted_document():
    """Guards against an oracle that checks only the latest revision."""
    applied = [
        AppliedRevision(process="e00#0", service="s", revision=r, time_s=float(i))
        for i, r in enumerate((3, 5, 4))
    ]
    edit = Edit(service="s", revision=5, time_s=0.0)
    history = History(ledger=LedgerRecord(), applied=applied, edits=[edit])
    names = [v.invariant for v in find_violations(history)]
    assert names == ["documents_come_into_force"]
    history = attrs.evolve(history, applied=applied[:2])
    assert find_violations(history) == []


@pytest.mark.parametrize(("reported", "broken"), [(False, True), (True, False)])
def test_completed_run_whose_result_was_lost_needs_a_report(reported, broken):
    """Guards against a run reported as completed although its result was lost.

    A result that was reported may count as completed, even if the VM was lost before
    it received the acknowledgement (found with seed 3108).
    """
    execution = Execution(
        kind=WorkKind.TASK,
        work="r0/0",
        identifier="t",
        place="w",
        ended_s=1.0,
        outcome="completed",
        discarded=Discard.VM_GONE,
        reported=reported,
    )
    run = SubmittedRun(
        key="r0", service="s", tasks=1, runs={"run"}, outcome=RunOutcome.COMPLETED
    )
    history = History(
        ledger=LedgerRecord(executions=[execution]), runs=[run], ended=True,
        revisions={"store": {}},
    )  # fmt: skip
    names = [v.invariant for v in find_violations(history)]
    assert names == (["accepted_work_ends"] if broken else [])
