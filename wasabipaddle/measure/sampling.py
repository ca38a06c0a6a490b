"""Samples of the simulated state of a driver."""

from wasabipaddle.documents import Resources
from wasabipaddle.measure.outcomes import Sample

__all__ = ["rack_spread", "take_sample", "usable_capacity"]


def rack_spread(driver) -> float:
    """Return the racks used by spread services over the most they could use."""
    racks = {}
    for live in driver.live.values():
        if driver.runs[live.run].job.work.placement.spread:
            racks.setdefault(live.run, []).append(driver.workers[live.worker].spec.rack)
    most = len({w.spec.rack for w in driver.workers.values()})
    used = sum(len(set(r)) for r in racks.values())
    return used / max(sum(min(len(r), most) for r in racks.values()), 1)


def usable_capacity(driver) -> Resources:
    """Return the total size of the workers that are not faulty."""
    sizes = [w.spec.size for w in driver.workers.values() if not w.spec.bad]
    return sum(sizes, Resources())


def take_sample(driver):
    """Record a sample of a driver, its quarantined workers and its blocking time."""
    cpu = memory = overloaded = 0
    for worker in driver.workers.values():
        used, size = worker.use(driver.now), worker.spec.size
        useful = worker.useful_use(driver.now)
        cpu += min(useful.cpu_milli, size.cpu_milli)
        memory += min(useful.memory_mb, size.memory_mb)
        overloaded += not Resources(
            cpu_milli=used.cpu_milli, memory_mb=used.memory_mb
        ).fits(size)
        if driver.fleet.workers[worker.spec.name].quarantined:
            bad = worker.spec.bad
            found = driver.outcomes
            chosen = found.quarantined_bad if bad else found.quarantined_good
            chosen.add(worker.spec.name)
    waiting = driver.waiting_use
    reserved = sum((w.reserved for w in driver.workers.values()), Resources())
    driver.outcomes.samples.append(
        Sample(
            at=driver.now,
            carried=(cpu, memory),
            reserved=(reserved.cpu_milli, reserved.memory_mb),
            demand=(cpu + waiting[0], memory + waiting[1]),
            running=len(driver.live),
            overloaded=overloaded,
        )
    )
    if any(driver.runs[r].job.impossible for r in driver.placer.queue.by_run):
        driver.outcomes.impossible_blocking_s += driver.sample_s
