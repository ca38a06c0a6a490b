"""State machine that drives an in-memory cell through load and faults."""

import asyncio
import gc

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wasabipaddle.clock import VirtualTimeLoop, cancel_leftover_tasks
from wasabipaddle.fuzz.cell import REQUEST_SERVICES, SERVICES, FuzzCell
from wasabipaddle.fuzz.faults import (
    ENDPOINT_FAULTS,
    STORE_FAULTS,
    WORKER_FAULTS,
    FaultInjector,
)
from wasabipaddle.fuzz.oracle import find_violations

__all__ = ["CellMachine", "InvariantViolation"]

SETTLE_S = 6.0
STEP_S = 0.05

ENTRIES = st.sampled_from([f"e{i:02d}" for i in range(5)])
CENTRES = st.sampled_from([f"dc{i}" for i in range(3)])
WORKERS = st.builds("dc{}-w{:03d}".format, st.integers(0, 2), st.integers(0, 2))
ENDPOINTS = st.builds("dc{}-p{:03d}".format, st.integers(0, 2), st.integers(0, 1))
RUN_TIMES = st.sampled_from([0.5, 3.0, 12.0])
SERVICE_TIMES = st.sampled_from([0.01, 0.5, 4.0])
ANSWER_BYTES = st.sampled_from([0, 64, 200_000])


class InvariantViolation(AssertionError):
    """The oracle found a violation of an invariant."""


class CellMachine(RuleBasedStateMachine):
    """Drives one cell per example, on an event loop with virtual time.

    Attributes
    ----------
    cell_type : type
        Class of the cell under test.
    """

    # Hypothesis orders the rules by the number of their arguments and by name, so a
    # renamed rule changes what the examples of a seed do.

    cell_type = FuzzCell

    def __init__(self):
        super().__init__()
        self.errors = []
        self.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self.runner.run(self._start())

    async def _start(self):
        asyncio.get_running_loop().set_exception_handler(self._on_unhandled)
        self.cell = self.cell_type()
        self.faults = FaultInjector(cell=self.cell)
        await self.cell.start()
        await asyncio.sleep(SETTLE_S)

    def _on_unhandled(self, loop, context):
        error = context.get("exception")
        if error is not None:
            self.errors.append(f"{type(error).__name__}: {error}")

    def run_step(self, function, *args, **options):
        """Call a function on the loop of the cell, then let `STEP_S` pass."""

        async def call():
            result = function(*args, **options)
            if asyncio.iscoroutine(result):
                await result
            await asyncio.sleep(STEP_S)

        self.runner.run(call())

    @invariant()
    def holds(self):
        """Check the invariants after each step."""
        self.check()

    def check(self):
        """Raise `InvariantViolation` for the first violation that is found."""
        violations = find_violations(self.cell.history)
        if violations:
            violation = violations[0]
            raise InvariantViolation(f"{violation.invariant}: {violation.detail}")

    def teardown(self):
        """Clear all faults, check the invariants at the end and close the loop."""
        try:
            self.runner.run(self._finish())
            # asyncio reports the exception of a task that nobody awaited only when the
            # task is garbage-collected.
            gc.collect()
            self.cell.history.errors = self.errors
            self.check()
        finally:
            self.runner.run(self._close())
            self.runner.close()

    async def _finish(self):
        await self.faults.clear_all()
        await self.cell.finish()
        self.cell.close_reachability()

    async def _close(self):
        asyncio.get_running_loop().release()
        await cancel_leftover_tasks()

    # Load

    @rule(entry=ENTRIES, service=st.sampled_from(sorted(SERVICES)), run_s=RUN_TIMES)
    def submit(self, entry, service, run_s):
        """Submit a run; a run of `watch` continues until it is stopped or cancelled."""
        if entry in self.cell.processes:
            run_s = None if service == "watch" else run_s
            self.run_step(self.cell.submit_run, entry, service, run_s=run_s)

    @rule(entry=ENTRIES, number=st.integers(0, 5))
    def submit_again(self, entry, number):
        """Repeat an earlier submission with the same key at any process."""
        runs = self.cell.history.runs
        if entry in self.cell.processes and number < len(runs):
            self.run_step(self.cell.submit_again, entry, runs[-1 - number])

    @rule(entry=ENTRIES, number=st.integers(0, 5), cancel=st.booleans())
    def release(self, entry, number, cancel):
        """Cancel or stop an earlier run."""
        runs = self.cell.history.runs
        if entry in self.cell.processes and number < len(runs):
            self.run_step(self.cell.release, entry, runs[-1 - number], cancel=cancel)

    @rule(
        entry=ENTRIES,
        service=st.sampled_from(sorted(REQUEST_SERVICES)),
        service_s=SERVICE_TIMES,
        answer_bytes=ANSWER_BYTES,
        count=st.integers(1, 8),
    )
    def request(self, entry, service, service_s, answer_bytes, count):
        """Send requests to one process."""
        for _ in range(count):
            if entry not in self.cell.processes:
                return  # a drain of the process has ended meanwhile
            self.run_step(
                self.cell.send_request,
                entry,
                service,
                service_s=service_s,
                answer_bytes=answer_bytes,
            )

    @rule(service=st.sampled_from([*SERVICES, *REQUEST_SERVICES]), both=st.booleans())
    def edit(self, service, both):
        """Edit a document as one operator, or as two at the same time."""
        for operator in range(1 + both):
            self.call_on_loop(self.cell.edit, operator, service)
        self.run_step(lambda: None)

    def call_on_loop(self, function, *args):
        """Call a function on the loop of the cell while no time passes."""

        async def call():
            function(*args)

        self.runner.run(call())

    @rule(duration_s=st.sampled_from([0.2, 1.0, 3.0, 8.0, 15.0, 30.0]))
    def wait(self, duration_s):
        """Let time pass."""
        self.run_step(asyncio.sleep, duration_s)

    # Faults

    @rule(
        entry=ENTRIES,
        fault=st.sampled_from(["kill", "pause", "resume", "restart", "drain"]),
    )
    def entry_fault(self, entry, fault):
        """Kill, suspend, resume, restart or drain an entry process."""
        self.run_step(getattr(self.faults, fault), entry)

    @rule(shard=CENTRES, fault=st.sampled_from(["kill", "pause", "drain"]))
    def leader_fault(self, shard, fault):
        """Kill, suspend or drain the leader of a shard."""
        leaders = self.cell.leaders(f"{shard}-0")
        if leaders:
            self.run_step(getattr(self.faults, fault), leaders[0].name)

    @rule(centre=CENTRES)
    def isolate(self, centre):
        """Cut a data centre off from all others and from the store."""
        self.run_step(self.faults.isolate, centre)

    @rule(one=CENTRES, other=CENTRES)
    def part(self, one, other):
        """Cut two data centres off from each other."""
        if one != other:
            self.run_step(self.faults.partition, one, other)

    @rule(entry=ENTRIES, vm=st.one_of(WORKERS, ENDPOINTS))
    def cut_vm(self, entry, vm):
        """Cut a process off from a worker or an endpoint."""
        self.run_step(self.faults.cut_vms, entry, [vm])

    @rule()
    def heal(self):
        """Heal every network partition."""
        self.run_step(self.faults.heal)

    @rule(fault=st.sampled_from(sorted(STORE_FAULTS)))
    def store(self, fault):
        """Set one fault of the store, or clear its faults."""
        self.run_step(self.faults.set_store_fault, fault)

    @rule(down=st.booleans())
    def vm_list(self, down):
        """Take the VM list down, or bring it back."""
        self.run_step(self.faults.set_vm_list_down, down)

    @rule(vm=WORKERS, fault=st.sampled_from(sorted(WORKER_FAULTS)))
    def worker(self, vm, fault):
        """Set one fault of a worker, or clear its faults."""
        self.run_step(self.faults.set_worker_fault, vm, fault)

    @rule(vm=WORKERS, back=st.booleans())
    def worker_vm(self, vm, back):
        """Lose the VM of a worker, or bring it back."""
        change = self.faults.return_worker if back else self.faults.lose_worker
        self.run_step(change, vm)

    @rule(vm=ENDPOINTS, fault=st.sampled_from(sorted(ENDPOINT_FAULTS)))
    def endpoint(self, vm, fault):
        """Set one fault of an endpoint, or clear its faults."""
        self.run_step(self.faults.set_endpoint_fault, vm, fault)

    @rule(vm=ENDPOINTS)
    def stall(self, vm):
        """Stall the open connections of an endpoint."""
        self.run_step(self.faults.silence_connections, vm)

    @rule(vm=ENDPOINTS, back=st.booleans())
    def endpoint_vm(self, vm, back):
        """Begin the planned departure of an endpoint, or bring the endpoint back."""
        change = self.faults.return_endpoint if back else self.faults.leave_endpoint
        self.run_step(change, vm)
