"""Start orders of the dispatcher, and what follows their replies."""

import asyncio
from unittest.mock import AsyncMock, MagicMock

import pytest
from result import Ok

from wasabipaddle.cell.calls import RunnerCalls
from wasabipaddle.dispatch import StartTask
from wasabipaddle.interfaces import OrderReply


@pytest.mark.parametrize("deferred", [True, False])
def test_reply_to_a_start_wakes_the_plan_if_tasks_wait_for_it(deferred):
    """Guards against a large step that starts only a few tasks in each period."""
    session = MagicMock()
    session.now.return_value = 1.0
    session.registry.watch.age_s.return_value = 0.0
    session.scheduler.placement.deferred = deferred
    calls = RunnerCalls(session=session)
    run = MagicMock()
    run.runner.id = "r0"
    run.task.waiting_since_s = 0.5
    client = MagicMock()
    client.start = AsyncMock(return_value=Ok(OrderReply(clock_ms=5)))
    calls.clients["r0"] = client
    asyncio.run(calls._start(StartTask(run=run)))
    assert session.scheduler.replies.start_replied.called
    assert session.wake.called is deferred
