"""Unexpected errors in the background tasks of a cell process."""

import asyncio
from types import SimpleNamespace
from unittest.mock import AsyncMock, MagicMock

import pytest

from wasabipaddle.cell.configuration import ConfigurationPlugin
from wasabipaddle.cell.keys import JOB_PREFIX, LEADER_KEY
from wasabipaddle.cell.tests.conftest import JOB, QUEUE, SPEC
from wasabipaddle.cell.tests.session_parts import (
    RUNNER,
    put,
    put_runner,
    with_cell,
    with_leading_session,
)
from wasabipaddle.dispatch import StartOutcome, StartTask
from wasabipaddle.jobs import CellConfiguration, Job, encode_job
from wasabipaddle.platform import REGISTRY_PREFIX
from wasabipaddle.platform.client import encode_configuration

# Time within which a task must go on after an error.
RECOVERY_S = 2.5


def fail_once(owner, name):
    """Have the next call of a method raise an error of an unexpected kind."""
    method = getattr(owner, name)

    def fail(*args, **options):
        setattr(owner, name, method)
        raise ZeroDivisionError(name)

    setattr(owner, name, fail)


@pytest.mark.parametrize("name", ["set_runner", "advance", "plan", "take_orders"])
def test_dispatcher_survives_an_error_in_a_decision(make_test_cell, name):
    """Guards against a leader that no longer plans or no longer sees departures."""

    async def scenario(cell, session):
        fail_once(session.scheduler, name)
        put_runner(cell, b"draining")
        job = Job(id=JOB, policy=QUEUE, accepted_ms=0, spec=SPEC)
        put(cell, JOB_PREFIX + JOB, encode_job(job))
        await asyncio.sleep(RECOVERY_S)
        assert session.scheduler.state.runners["r0"].entry.draining
        assert JOB in session.scheduler.state.jobs
        planned = []
        session.scheduler.plan = lambda now, **_: planned.append(now) or []
        await asyncio.sleep(1.0)
        assert planned

    with_leading_session(make_test_cell, scenario)


def test_entry_that_always_fails_does_not_hide_the_others(make_test_cell):
    """Guards against a view that stands still, or is listed over and over."""

    async def scenario(cell, session):
        set_runner = session.registry.set_runner

        def fail_for_one(entry):
            if entry.id == "bad":
                raise ZeroDivisionError(entry.id)
            set_runner(entry)

        session.registry.set_runner = fail_for_one
        value = RUNNER.replace(b"STATE", b"ready")
        put(cell, REGISTRY_PREFIX + "bad", value)
        await asyncio.sleep(RECOVERY_S)
        put_runner(cell, b"draining")
        await asyncio.sleep(RECOVERY_S)
        assert session.scheduler.state.runners["r0"].entry.draining
        before = session.metrics.counters["watch_listings_registry"]
        await asyncio.sleep(30.0)
        assert session.metrics.counters["watch_listings_registry"] - before <= 7

    with_leading_session(make_test_cell, scenario)


def test_dispatcher_survives_an_error_in_the_fleet_record(make_test_cell):
    """Guards against new runners that never get work."""

    async def scenario(cell, session):
        fail_once(session.scheduler, "runners_to_record")
        await asyncio.sleep(RECOVERY_S)
        assert session.scheduler.state.runners["r0"].in_fleet_record
        put(cell, "other", b"")
        session.scheduler.state.runners["r0"].in_fleet_record = False
        await asyncio.sleep(RECOVERY_S)
        assert session.scheduler.state.runners["r0"].in_fleet_record

    with_leading_session(make_test_cell, scenario)


def test_process_follows_the_leader_after_an_unreadable_leader_key(make_test_cell):
    """Guards against a process that never campaigns again."""

    async def scenario(cell, tasks):
        leader = await cell.elect()
        put(cell, LEADER_KEY, b"{")
        await asyncio.sleep(RECOVERY_S)
        cell.memory.remove(LEADER_KEY)
        await asyncio.sleep(RECOVERY_S)
        assert leader.election.epoch == cell.memory.items[LEADER_KEY].revision

    with_cell(make_test_cell, scenario)


def test_configuration_survives_an_error_of_a_subscriber(make_test_cell):
    """Guards against a process that keeps a configuration that was replaced."""

    async def scenario(cell, tasks):
        plugin = ConfigurationPlugin(context=cell["p0"].context)
        await plugin.start()
        fail_once(plugin.context.bus, "publish")
        for version in (1, 2):
            current = CellConfiguration(version=version, queues=(QUEUE,))
            put(cell, *encode_configuration(current))
            await asyncio.sleep(RECOVERY_S)
        assert plugin.version == 2
        await plugin.stop()

    with_cell(make_test_cell, scenario)


def test_step_asks_for_advice_again_after_an_error(make_test_cell):
    """Guards against a step that waits for good for the reply to a failed request."""

    async def scenario(cell, session):
        advisor = session.scheduler.advisor = MagicMock()
        request = SimpleNamespace(step="step")
        fail_once(session.advice_balancer, "ask")
        session.spawn(session._request_advice(request))
        await asyncio.sleep(RECOVERY_S)
        (failed,) = advisor.record_failure.call_args_list
        assert failed.args[0] == "step"

    with_leading_session(make_test_cell, scenario)


def test_start_is_in_doubt_after_an_error(make_test_cell):
    """Guards against a run that keeps its reservation until the leadership ends."""

    async def scenario(cell, session):
        session.calls.clients["r0"] = MagicMock(
            start=AsyncMock(side_effect=ZeroDivisionError), close=AsyncMock()
        )
        replies = session.scheduler.replies = MagicMock()
        run = MagicMock(key=("task", 1))
        run.runner.id = "r0"
        run.runner.lease_left_ms.return_value = 0
        run.task.step.job.job.spec.payload = "p"
        session.scheduler.leases.extend_by_start = lambda runner, now: 1
        session.calls.send(StartTask(run=run))
        await asyncio.sleep(RECOVERY_S)
        (replied,) = replies.start_replied.call_args_list
        assert replied.args[:3] == (run, StartOutcome.UNKNOWN, None)

    with_leading_session(make_test_cell, scenario)
