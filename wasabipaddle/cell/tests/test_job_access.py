"""Keys of callers: which calls are admitted, and which jobs they reach."""

import logging

import attrs
import pytest
from result import Ok

from wasabipaddle.cell.keys import CANCEL_PREFIX, JOB_PREFIX, PROGRESS_PREFIX
from wasabipaddle.cell.tests.conftest import JOB, QUEUE, SPEC
from wasabipaddle.clock import run_virtual
from wasabipaddle.exceptions import ErrorKind
from wasabipaddle.interfaces import Put
from wasabipaddle.jobs import (
    CellConfiguration,
    Job,
    JobPhase,
    JobProgress,
    Queue,
    Workspace,
    digest_key,
    encode_job,
    encode_progress,
)
from wasabipaddle.messages.codec import decode
from wasabipaddle.messages.jobs import CancelJob, PhaseReply

PUBLIC = Queue(name="open", host="h", prefix="/open/", pool="p", public=True)
KEYED = CellConfiguration(
    version=2,
    queues=(QUEUE, PUBLIC),
    workspaces={
        name: Workspace(name=name, key_digests=frozenset({digest_key(f"{name}-key")}))
        for name in ("w1", "w2")
    },
    requires_keys=True,
)


@pytest.fixture
def run_keyed(make_test_cell):
    """Run a scenario on a cell of two processes whose configuration has keys."""

    def run(scenario, configuration=KEYED):
        async def main():
            cell = make_test_cell(2)
            for process in cell.processes.values():
                process.entry.configuration.current = configuration
            await scenario(cell)
            await cell.close()

        run_virtual(main())

    return run


def submit(process, workspace, queue=QUEUE):
    return process.entry.submit(queue, JOB, SPEC, wait_s=3.0, workspace=workspace)


def kind_of(result):
    return result.err().kind


@pytest.mark.parametrize(
    "key", [None, "", "w3-key", "w1-ke", "\udcff\x00", "k" * 10**6]
)
def test_missing_or_unknown_key_is_refused(run_keyed, key):
    """Guards against calls of nobody's key, and keys that no configuration can hold."""

    async def scenario(cell):
        entry = cell["p0"].entry
        assert kind_of(entry.identify(QUEUE, key)) is ErrorKind.UNAUTHENTICATED
        assert entry.identify(PUBLIC, key) == Ok("")
        assert entry.identify(QUEUE, "w1-key") == Ok("w1")
        counters = cell["p0"].context.metrics.snapshot()["counters"]
        assert counters["calls_refused_unauthenticated"] == 1

    run_keyed(scenario)


def test_calls_need_no_key_where_no_workspaces_are_configured(run_keyed):
    """Guards against a deployment without keys that refuses its callers."""

    async def scenario(cell):
        assert cell["p0"].entry.identify(QUEUE, None) == Ok("")

    run_keyed(scenario, CellConfiguration(version=1, queues=(QUEUE,)))


def test_calls_need_keys_if_no_workspace_could_be_decoded(run_keyed):
    """Guards against an open cell after a configuration whose workspaces are bad."""

    async def scenario(cell):
        refused = cell["p0"].entry.identify(QUEUE, "w1-key")
        assert kind_of(refused) is ErrorKind.UNAUTHENTICATED

    run_keyed(scenario, attrs.evolve(KEYED, workspaces={}))


def test_job_of_another_workspace_looks_like_no_job(run_keyed):
    """Guards against a workspace that sees or cancels the jobs of another one."""

    async def scenario(cell):
        assert (await submit(cell["p0"], "w1")).is_ok()
        for process in cell.processes.values():
            entry = process.entry
            for workspace, queue in (("w2", QUEUE), ("", PUBLIC)):
                options = {"wait_s": 3.0, "workspace": workspace}
                found = await entry.find_phase(queue, JOB, **options)
                assert kind_of(found) is ErrorKind.GONE
                cancelled = await entry.cancel(queue, JOB, **options)
                assert kind_of(cancelled) is ErrorKind.GONE
                again = await submit(process, workspace, queue)
                assert kind_of(again) is ErrorKind.CONFLICT
            assert (await submit(process, "w1")).is_ok()
        assert CANCEL_PREFIX + JOB not in cell.memory.items
        found = await cell["p1"].entry.find_phase(
            QUEUE, JOB, wait_s=3.0, workspace="w1"
        )
        assert found == Ok(JobPhase.QUEUED)

    run_keyed(scenario)


def test_final_state_of_another_workspace_is_not_shown(run_keyed):
    """Guards against a final state that is read from the store without its owner."""

    async def scenario(cell):
        await submit(cell["p0"], "w1")
        progress = encode_progress(JobProgress(phase=JobPhase.COMPLETED))
        cell.memory.apply((), [Put(key=PROGRESS_PREFIX + JOB, value=progress)], ())
        entry = cell["p1"].entry
        other = await entry.find_phase(QUEUE, JOB, wait_s=3.0, workspace="w2")
        own = await entry.find_phase(QUEUE, JOB, wait_s=3.0, workspace="w1")
        assert kind_of(other) is ErrorKind.GONE
        assert own == Ok(JobPhase.COMPLETED)

    run_keyed(scenario)


def test_reply_of_the_dispatcher_is_shown_to_the_workspace_of_the_job_only(run_keyed):
    """Guards against a phase that leaks through the leader.

    A leader of an earlier version does not name the workspace; the store tells then.
    """

    async def scenario(cell):
        entry = cell["p0"].entry
        reply = PhaseReply(phase=JobPhase.RUNNING, queue="q", workspace="w1")
        entry.members.phase = Ok(reply)
        other = await entry.find_phase(QUEUE, JOB, wait_s=3.0, workspace="w2")
        own = await entry.find_phase(QUEUE, JOB, wait_s=3.0, workspace="w1")
        assert kind_of(other) is ErrorKind.GONE
        assert own == Ok(JobPhase.RUNNING)
        await submit(cell["p1"], "w1")
        entry.members.phase = Ok(PhaseReply(phase=JobPhase.RUNNING))
        other = await entry.find_phase(QUEUE, JOB, wait_s=3.0, workspace="w2")
        assert kind_of(other) is ErrorKind.GONE

    run_keyed(scenario)


def test_peers_that_help_keep_workspaces_apart(run_keyed):
    """Guards against a conflict or a foreign cancellation that a peer does not see."""

    async def scenario(cell):
        await submit(cell["p1"], "w1")
        cell.memory.refused_clients.add("p0")
        assert kind_of(await submit(cell["p0"], "w2")) is ErrorKind.CONFLICT
        entry = cell["p0"].entry
        other = await entry.cancel(QUEUE, JOB, wait_s=3.0, workspace="w2")
        assert kind_of(other) is ErrorKind.GONE
        assert (await entry.cancel(QUEUE, JOB, wait_s=3.0, workspace="w1")).is_ok()

    run_keyed(scenario)


def test_message_of_an_earlier_version_reaches_no_job_of_a_workspace(run_keyed):
    """Guards against a cancellation without a checked key during an upgrade."""

    async def scenario(cell):
        await submit(cell["p0"], "w1")
        message = decode(b'{"job":"%s"}' % JOB.encode(), CancelJob).ok()
        reply = await cell["p1"].entry.storage.cancel_for_peer(message)
        assert kind_of(reply) is ErrorKind.GONE

    run_keyed(scenario)


def test_job_from_before_the_keys_is_still_reached(run_keyed):
    """Guards against accepted jobs that are lost when a cell gets keys."""

    async def scenario(cell):
        job = Job(id=JOB, policy=QUEUE, accepted_ms=1, spec=SPEC)
        put = Put(key=JOB_PREFIX + JOB, value=encode_job(job))
        cell.memory.apply((), (put,), ())
        entry = cell["p0"].entry
        found = await entry.find_phase(QUEUE, JOB, wait_s=3.0, workspace="w1")
        assert found == Ok(JobPhase.QUEUED)
        assert (await submit(cell["p0"], "w1")).is_ok()
        assert (await entry.cancel(QUEUE, JOB, wait_s=3.0, workspace="w1")).is_ok()

    run_keyed(scenario)


def test_job_is_still_reached_when_its_queue_or_cell_needs_keys_no_longer(run_keyed):
    """Guards against accepted jobs that are lost when keys are given up."""

    async def scenario(cell):
        await submit(cell["p0"], "w1")
        entry = cell["p0"].entry
        opened = attrs.evolve(QUEUE, public=True)
        for configuration in (
            attrs.evolve(KEYED, queues=(opened, PUBLIC)),
            CellConfiguration(version=3, queues=(QUEUE,)),
        ):
            entry.configuration.current = configuration
            found = await entry.find_phase(QUEUE, JOB, wait_s=3.0)
            assert found == Ok(JobPhase.QUEUED)

    run_keyed(scenario)


def test_unreadable_owner_of_an_existing_job_is_no_refusal(run_keyed):
    """Guards against the outcome "not run" for a job that the same caller has stored.

    The store may be lost between the failed creation and the read of the owner.
    """

    async def scenario(cell):
        await submit(cell["p0"], "w1")
        commit = cell["p1"].store_plugin.store.commit

        async def commit_and_lose_the_store(**options):
            result = await commit(**options)
            cell.memory.down = True
            return result

        cell["p1"].store_plugin.store.commit = commit_and_lose_the_store
        refused = await submit(cell["p1"], "w1")
        assert kind_of(refused) is ErrorKind.ACCEPTANCE_UNKNOWN

    run_keyed(scenario)


def test_keys_appear_in_no_log_line_or_stored_job(run_keyed, caplog):
    """Guards against secrets in logs, metrics and records."""

    async def scenario(cell):
        process = cell["p0"]
        events = []
        process.context = process.entry.context = attrs.evolve(
            process.context, journal=lambda kind, **fields: events.append(fields)
        )
        with caplog.at_level(logging.DEBUG):
            workspace = process.entry.identify(QUEUE, "w1-key").ok()
            refused = process.entry.identify(QUEUE, "w3-key").err()
            await submit(process, workspace)
        shown = (events, refused, caplog.text, KEYED, cell.memory.items)
        shown += (process.context.metrics.snapshot(),)
        assert "-key" not in repr(shown)
        assert events[0]["workspace"] == "w1"

    run_keyed(scenario)
