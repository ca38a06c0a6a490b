"""An entry of another writer lies in the registry while the leadership moves."""

import asyncio
import json
import signal
import socket
import time

from lib import case

WORK_S = 1.0
BEFORE_S = 3.0
# Time for the hand-over and for all bounds to pass, then the time that is judged.
SETTLE_S = 15.0
JUDGED_S = 10.0
IDLE_LIMIT_S = 3.0


BATCH = [{"count": 4, "cpu": 1000, "mem_mb": 64, "estimate_ms": 1000}]
LASTING = [{"count": 3, "cpu": 2000, "mem_mb": 64, "long_running": True}]
LASTING_JOB = "10" * 8
FOREIGN_KEY = "servers/i-0f0e0d0c"


def duration(task):
    """Return the duration of a task in seconds, None if it lasts."""
    return None if task.startswith(LASTING_JOB) else WORK_S


async def main(deployment):
    d = deployment
    d.configure()
    for n in range(3):
        await d.add_runner(f"i-{n}a2b3c4d", work_s=duration)
    for n in range(3):
        await d.add_process(f"front-brescia-a-{n + 1}")
    await d.start()
    first = await d.submit(BATCH)
    await d.submit(LASTING, job=LASTING_JOB)
    await asyncio.sleep(2 * WORK_S)
    if await d.state(first) != "completed":
        raise case.CouldNotRun("the first job was not completed")
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    if d.trouble:
        # Another writer: its time of start is in seconds, with a fraction.
        entry = {
            "service": case.SERVICE,
            "address": "127.0.0.1:%d" % listener.getsockname()[1],
            "zone": "brescia-a", "version": "v1", "slots": 8, "state": "ready",
            "cold_remaining_ms": 0, "capacity": case.CAPACITY, "labels": ["a", "r1-1"],
            "clock_ms": 1, "born": time.time(), "seq": 1,
        }
        d.store.write(FOREIGN_KEY, json.dumps(entry).encode())
        d.record.add("foreign_entry", entry=json.dumps(entry))
    await asyncio.sleep(BEFORE_S)
    before = await d.submit(BATCH)
    await asyncio.sleep(2 * WORK_S)
    # Planned work: the leader is stopped, as in a rolling restart, and started again.
    leader = d.leader
    process = d.processes[leader]
    process.signal(signal.SIGTERM)
    await asyncio.wait_for(process.child.wait(), 8)
    await process.start()
    await process.wait_ready()
    after = await d.submit(BATCH)
    accepted_s = d.record.now()
    await asyncio.sleep(SETTLE_S / 2)
    # The other writer removes its entry again, after the hand-over.
    d.store.remove(FOREIGN_KEY)
    await asyncio.sleep(SETTLE_S / 2)
    judged_from_s = d.record.now()
    await asyncio.sleep(JUDGED_S)
    states = {job: await d.state(job) for job in (first, before, after)}
    started = [at for at, f in d.record.of("begin") if f["task"].startswith(after)]
    done = [
        at
        for at, f in d.record.of("end")
        if f["task"].startswith(after) and f["how"] == "done"
    ]
    idle_s = (started[0] if started else d.record.now()) - accepted_s
    books = [
        f
        for at, f in d.record.of("begin")
        if f["task"].startswith(LASTING_JOB) and at > accepted_s
    ]
    lapsed = [
        at
        for at, f in d.record.of("end")
        if f["task"].startswith(LASTING_JOB) and f["how"] == "lapsed"
    ]
    lines = [
        f"leader at the stop: {leader}; leader at the end: {d.leader}",
        f"states: {json.dumps(states)}",
        f"job accepted at {accepted_s:.3f} after the hand-over: {len(started)} of 4 tasks"
        f" started, {len(done)} done; nothing ran for {idle_s:.1f} s, on idle runners",
        f"tasks that last: {len(lapsed)} of 3 lapsed, {len(books)} started again",
        f"judged from {judged_from_s:.3f}: {JUDGED_S} s",
    ]
    # LOST: for 3 s the job has nothing running while its turn has come and the runners
    # are empty; here in a calm stretch long after the hand-over.
    broken = not started and JUDGED_S > IDLE_LIMIT_S
    listener.close()
    return lines, broken


case.run(main, ".")
