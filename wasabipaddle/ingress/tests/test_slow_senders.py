"""Slow senders beside ordinary callers, while the processes of a cell change."""

import asyncio

from wasabipaddle.ingress.tests.raw_requests import (
    BODY_BYTES,
    body_of,
    head,
    length,
    write,
)
from wasabipaddle.jobs import Limits

CROWD = 600
DRAIN_CROWD = 20
MISSING_BYTES = 64
PAUSE_S = 0.05
# Body limits before and after a change, and payloads of jobs between them.
SMALL_LIMIT_BYTES = 20_000
LARGE_LIMIT_BYTES = 1_000_000
PAYLOAD_BYTES = 50_000
STATUS_TOO_LARGE = 413


def _make_sender(cell, size):
    """Return a function that sends most of a body, and then a byte now and then."""
    body = body_of(size)

    async def send(writer, number):
        await write(writer, head(number, length(size)) + body[:-MISSING_BYTES])

        async def go_on():
            for byte in body[-MISSING_BYTES:-1]:
                await write(writer, bytes([byte]))
                await asyncio.sleep(PAUSE_S)

        cell.keep_sending(go_on())

    return send


def test_unfinished_bodies_at_a_drain(run_crowded):
    """Guards against senders that stop and keep a draining process from its exit."""

    async def send(writer, number):
        await write(writer, head(number, length(BODY_BYTES)) + b"{")

    async def check(cell):
        (process,) = cell.alive
        await cell.send_crowd(DRAIN_CROWD, send)
        await cell.check()
        process.child.terminate()
        assert await process.wait_for_exit() == 0

    run_crowded(check)


def test_slow_bodies_at_a_drain(run_crowded):
    """Guards against senders that go on, and fill the process that remains."""

    async def check(cell):
        drained, remaining = cell.alive
        send = _make_sender(cell, BODY_BYTES)
        await cell.send_crowd(DRAIN_CROWD, send, processes=[drained])
        await cell.send_crowd(CROWD, send, processes=[remaining])
        drained.child.terminate()
        await cell.submit(remaining)
        assert await drained.wait_for_exit() == 0
        assert cell.alive == [remaining]
        await cell.check()

    run_crowded(check, processes=2)


def test_slow_bodies_at_a_takeover(run_crowded):
    """Guards against bodies that keep the other processes from taking over."""

    async def check(cell):
        dispatcher = await cell.find_dispatcher()
        others = [process for process in cell.alive if process is not dispatcher]
        send = _make_sender(cell, BODY_BYTES)
        await cell.send_crowd(CROWD, send, processes=others)
        dispatcher.child.kill()
        await dispatcher.wait_for_exit()
        assert await cell.find_dispatcher() in others
        assert cell.alive == others
        await cell.check()

    run_crowded(check, processes=3)


def test_slow_bodies_at_changes_of_the_limits(run_crowded):
    """Guards against limits that change for one process or for bodies on their way."""

    async def check(cell):
        processes = cell.alive
        cell.configure(Limits(max_body_bytes=LARGE_LIMIT_BYTES))
        for process in processes:
            assert await cell.submit(process, size=2 * BODY_BYTES)
        await cell.send_crowd(CROWD // 2, _make_sender(cell, LARGE_LIMIT_BYTES))
        await cell.check()
        cell.configure(Limits(max_body_bytes=SMALL_LIMIT_BYTES))
        for process in processes:
            assert await cell.submit(
                process, size=PAYLOAD_BYTES, status=STATUS_TOO_LARGE
            )
        await cell.send_crowd(CROWD // 2, _make_sender(cell, SMALL_LIMIT_BYTES))
        assert cell.alive == processes
        await cell.check()
        cell.configure(Limits())
        for process in processes:
            assert await cell.submit(process, size=PAYLOAD_BYTES)

    run_crowded(check, processes=2)
