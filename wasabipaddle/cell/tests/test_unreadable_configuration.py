"""Configurations and jobs that cannot be decoded, in a process that goes on."""

import asyncio
import json

from wasabipaddle.cell.configuration import ConfigurationPlugin
from wasabipaddle.cell.keys import CANCEL_PREFIX, JOB_PREFIX
from wasabipaddle.cell.tests.conftest import JOB, QUEUE, SPEC
from wasabipaddle.cell.tests.session_parts import put, with_cell, with_leading_session
from wasabipaddle.jobs import Job, encode_job
from wasabipaddle.platform import CONFIGURATION_KEY

ROUTE = {"name": "a", "host": "h", "prefix": "/a/", "service": "s"}
NESTED = b"[" * 100_000


def test_unreadable_configuration_is_logged_once(make_test_cell):
    """Guards against a log line at each read, and against a new version not applied.

    Before the first configuration, the process reads the key several times a second.
    """

    async def scenario(cell, tasks):
        context = cell["p0"].context
        events = []
        context.journal = lambda kind, **values: events.append(kind)
        plugin = ConfigurationPlugin(context=context)
        await plugin.start()
        for _ in range(4):
            put(cell, CONFIGURATION_KEY, NESTED)
            plugin.watch.expire()
            await asyncio.sleep(1.0)
        assert events.count("configuration_unreadable") == 1
        assert context.metrics.counters["records_unreadable_configuration"] >= 4
        value = json.dumps({"version": 1, "routes": [ROUTE, 5]}).encode()
        put(cell, CONFIGURATION_KEY, value)
        await asyncio.sleep(1.5)
        assert plugin.version == 1
        assert events.count("configuration_unreadable") == 2
        await plugin.stop()

    with_cell(make_test_cell, scenario)


def test_unreadable_jobs_do_not_hide_the_others(make_test_cell):
    """Guards against a watch of jobs that fails, or that lists again and again.

    The odd jobs are malformed, cannot be planned, or lie under the key of another job.
    """

    async def scenario(cell, session):
        job = Job(id=JOB, policy=QUEUE, accepted_ms=0, spec=SPEC)
        value = encode_job(job)
        odd = [b"", NESTED, b"\xff", value, value.replace(b'"count":1', b'"count":-1')]
        listings = session.metrics.counters["watch_listings_intake"]
        for n, odd_value in enumerate(odd):
            put(cell, f"{JOB_PREFIX}odd{n}", odd_value)
        put(cell, f"{JOB_PREFIX}{'k' * 10_000}", b"{")
        put(cell, CANCEL_PREFIX + "\x00", NESTED)
        await asyncio.sleep(1.0)
        assert not session.scheduler.state.jobs
        put(cell, JOB_PREFIX + JOB, value)
        await asyncio.sleep(10.0)
        assert list(session.scheduler.state.jobs) == [JOB]
        counters = session.metrics.counters
        assert counters["records_unreadable_job"] == len(odd) + 1
        assert counters["watch_listings_intake"] == listings

    with_leading_session(make_test_cell, scenario)
