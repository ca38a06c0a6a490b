"""Tests of clocks, timers and the virtual-time loop."""

import asyncio

from wasabipaddle.clock import (
    HybridClock,
    HybridTime,
    LoopClock,
    ManualClock,
    TimerService,
    process_context,
    run_virtual,
)


def test_virtual_loop_advances_without_waiting():
    """Guards against a virtual loop that waits in real time."""

    async def main():
        clock = LoopClock()
        await asyncio.sleep(3600)
        return clock.now(), clock.wall_ms()

    assert run_virtual(main()) == (3600.0, 3_600_000)


def test_periodic_timer_stops_when_disposed(rng):
    """Guards against timers that fire after their subscription was disposed."""

    async def main():
        ticks = []
        timers = TimerService(random=rng)
        subscription = timers.every(1.0, jitter=0).subscribe(ticks.append)
        await asyncio.sleep(3.5)
        subscription.dispose()
        await asyncio.sleep(5)
        return ticks

    assert run_virtual(main()) == [1.0, 2.0, 3.0]


def test_hybrid_clock_is_ahead_of_received_timestamps():
    """Guards against a reply that sorts before its request."""
    hybrid_clock = HybridClock(clock=ManualClock(time_s=1.0))
    timestamp = hybrid_clock.receive(HybridTime(wall_ms=5000, counter=3))
    assert timestamp > HybridTime(wall_ms=5000, counter=3)
    assert hybrid_clock.tick() > timestamp


def test_held_timeout_does_not_fire_after_the_end_of_its_wait():
    """Guards against a timer that runs after a pause although it was cancelled.

    The time-out fires while the process is paused and is held back; the resumed task
    leaves its wait and cancels the time-out before the held callback runs.
    """
    errors = []

    async def wait(event):
        async with asyncio.timeout(1.0):
            await event.wait()

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        event = asyncio.Event()
        task = asyncio.create_task(wait(event), context=process_context("p"))
        await asyncio.sleep(0.5)
        event.set()
        loop.pause("p")
        await asyncio.sleep(1.0)
        loop.resume("p")
        await task
        await asyncio.sleep(1.0)

    run_virtual(scenario())
    assert errors == []
