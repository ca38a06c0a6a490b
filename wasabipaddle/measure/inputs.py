"""Seeded generator of inputs: a fleet, teams with quotas, services and jobs.

Run times are heavy-tailed, declared needs differ from true use by a factor of up to
`declared_error`, arrivals follow a daily curve, cancellations come in bursts, some
jobs fit no worker, some tasks fail on every worker and some workers fail every task.
`generate` returns the same input for the same `InputSpec`.
"""

import math
import random

import attrs

from wasabipaddle.documents import Placement, Resources, ServiceKind
from wasabipaddle.measure.population import (
    limit_accelerators,
    load_ratio,
    make_fleet,
    make_profiles,
    make_quotas,
    set_rates,
)
from wasabipaddle.measure.records import (
    DAY_S,
    Inputs,
    InputSpec,
    Job,
    ServiceProfile,
    TaskTruth,
    WorkerSpec,
)
from wasabipaddle.placement import Work

__all__ = [
    "InputSpec",
    "Inputs",
    "Job",
    "ServiceProfile",
    "TaskTruth",
    "WorkerSpec",
    "daily_curve",
    "generate",
    "generate_with_offered_use",
    "make_fleet",
    "offered_use",
]

# With TAIL_PROBABILITY a run time is also multiplied by a Pareto variable with exponent
# TAIL_EXPONENT. TAIL_LIMIT bounds every run time as a multiple of the median of its
# service.
TAIL_LIMIT = 30.0
TAIL_PROBABILITY = 0.03
TAIL_EXPONENT = 1.5
# Heavy tails make the offered use differ from the nominal load, so that the load is
# adjusted in several rounds.
OFFER_ROUNDS = 8
OFFER_TOLERANCE = 0.02


def generate(spec) -> Inputs:
    """Return the input that a specification describes."""
    rng = random.Random(f"input {spec.seed}")
    workers = make_fleet(spec, rng)
    capacity = sum((w.size for w in workers), Resources())
    profiles = make_profiles(spec, rng)
    jobs, profiles = _jobs(spec, rng, profiles, capacity)
    return Inputs(
        spec=spec,
        workers=workers,
        quotas=make_quotas(spec, profiles, capacity),
        profiles=tuple(profiles),
        jobs=tuple(_add_cancellations(spec, rng, jobs)),
        capacity=capacity,
    )


def offered_use(inputs, start, end) -> float:
    """Return the mean true use between two times if every task started on arrival.

    It is a fraction of the capacity, in the scarcer of processor and memory. Tasks that
    fail count as zero, and growth of use is ignored.
    """
    cpu = memory = 0.0
    for job in inputs.jobs:
        cancelled_at = math.inf if job.cancel_at is None else job.cancel_at
        for task in job.tasks:
            ends = min(job.at + (0.0 if task.fails else task.run_s), cancelled_at, end)
            seconds = max(ends - max(job.at, start), 0.0)
            cpu += task.use.cpu_milli * seconds
            memory += task.use.memory_mb * seconds
    capacity, length = inputs.capacity, end - start
    return max(cpu / capacity.cpu_milli, memory / capacity.memory_mb) / length


def generate_with_offered_use(spec, use, start, end) -> Inputs:
    """Return an input whose `offered_use` between two times is just above `use`.

    The load is adjusted in up to `OFFER_ROUNDS` rounds. Small inputs may miss the
    target, because a few long tasks change the offered use considerably; measures
    therefore report the offered use.
    """
    for _ in range(OFFER_ROUNDS):
        inputs = generate(spec)
        offered = offered_use(inputs, start, end)
        if use <= offered <= use + 2 * OFFER_TOLERANCE:
            break
        aim = use + OFFER_TOLERANCE
        spec = attrs.evolve(spec, load=spec.load * aim / offered)
    return inputs


def _jobs(spec, rng, profiles, capacity):
    """Return jobs in order of arrival, and profiles with their final rates."""
    services = [p for p in profiles if p.kind is ServiceKind.SERVICE]
    batch = [p for p in profiles if p.kind is ServiceKind.BATCH]
    gangs = [p for p in profiles if p.kind is ServiceKind.GANG]
    services = _scale_services(spec, services, capacity)
    batch = limit_accelerators(batch, capacity)
    gangs = limit_accelerators(gangs, capacity)
    batch_load = spec.load - spec.service_load - (spec.gang_load if gangs else 0)
    batch, gangs = set_rates(spec, capacity, batch, batch_load, gangs)
    jobs = _service_jobs(spec, rng, services)
    jobs += _arrivals(spec, rng, batch + gangs)
    jobs.sort(key=lambda j: j.at)
    return jobs, services + batch + gangs


def _run_time(rng, profile):
    if profile.kind is ServiceKind.SERVICE:
        return math.inf
    factor = rng.lognormvariate(0, profile.run_sigma)
    if rng.random() < TAIL_PROBABILITY:
        factor *= rng.paretovariate(TAIL_EXPONENT)
    return profile.median_run_s * min(factor, TAIL_LIMIT)


def _scale_services(spec, services, capacity):
    """Return long-running services, with `popularity` scaled to `service_load`."""
    load = load_ratio(services, capacity, lambda p: p.popularity * p.mean_tasks)
    factor = spec.service_load / load if load else 0.0
    return [attrs.evolve(p, popularity=p.popularity * factor) for p in services]


def _service_jobs(spec, rng, services):
    """Return the jobs of long-running services; all arrive in the first 5 s."""
    jobs = []
    for profile in services:
        count = max(1, round(profile.popularity * profile.mean_tasks))
        jobs.append(_job(spec, rng, profile, rng.uniform(0, 5), f"s{len(jobs)}", count))
    return jobs


def _arrivals(spec, rng, profiles):
    """Return jobs of a Poisson process whose rate follows the daily curve."""
    rate = sum(p.popularity for p in profiles)
    weights = [p.popularity for p in profiles]
    jobs, now = [], 0.0
    while rate:
        now += rng.expovariate(rate * (1 + spec.diurnal))
        if now >= spec.duration_s:
            break
        if rng.random() * (1 + spec.diurnal) > daily_curve(spec, now):
            continue
        name = f"j{len(jobs)}"
        if rng.random() < spec.impossible:
            jobs.append(_impossible_job(rng, profiles, now, name))
            continue
        profile = rng.choices(profiles, weights)[0]
        if profile.kind is ServiceKind.GANG:
            low, high = max(2, profile.mean_tasks / 2), profile.mean_tasks * 1.5
            count = min(round(rng.uniform(low, high)), spec.largest_gang)
        else:
            count = 1 + int(rng.expovariate(1 / max(profile.mean_tasks - 0.5, 0.1)))
        jobs.append(_job(spec, rng, profile, now, name, count))
    return jobs


def daily_curve(spec, now) -> float:
    """Return the arrival rate at a time, relative to the mean."""
    phase = 2 * math.pi * (spec.start_of_day_s + now) / DAY_S
    return 1 - spec.diurnal * math.cos(phase)


def _job(spec, rng, profile, at, name, count):
    poisoned = rng.random() < spec.poisoned and profile.kind is ServiceKind.BATCH
    tasks = tuple(_task(spec, rng, profile, poisoned) for _ in range(count))
    return Job(at=at, work=_work(profile, name, count), tasks=tasks)


def _task(spec, rng, profile, poisoned):
    def scaled(amount):
        factor = min(rng.lognormvariate(0, spec.usage_sigma), 3)
        return max(int(amount * factor), 1)

    return TaskTruth(
        use=Resources(
            cpu_milli=scaled(profile.true.cpu_milli),
            memory_mb=scaled(profile.true.memory_mb),
            accelerators=profile.true.accelerators,
        ),
        run_s=_run_time(rng, profile),
        growth=rng.uniform(0, 1) if rng.random() < spec.growing else 0.0,
        fails=poisoned,
    )


def _work(profile, name, count):
    expected = 0.0 if math.isinf(profile.median_run_s) else profile.median_run_s
    return Work(
        run=name,
        service=profile.service,
        team=profile.team,
        kind=profile.kind,
        urgency=profile.urgency,
        needs=profile.needs,
        tasks=count,
        weight=profile.weight,
        placement=Placement(spread=profile.spread),
        expected_s=expected,
    )


def _impossible_job(rng, profiles, at, name):
    profile = rng.choice(profiles)
    needs = rng.choice(
        (
            Resources(cpu_milli=128_000, memory_mb=1024),
            Resources(cpu_milli=1000, memory_mb=1_000_000),
            Resources(cpu_milli=1000, memory_mb=1024, accelerators=16),
        )
    )
    work = attrs.evolve(
        _work(profile, name, 1), service=f"impossible-{needs.accelerators}", needs=needs
    )
    return Job(at=at, work=work, tasks=(), impossible=True)


def _add_cancellations(spec, rng, jobs):
    """Return the jobs with cancellation times set for some of them."""
    if not spec.cancel_burst_every_s:
        return jobs
    jobs = list(jobs)
    now = rng.expovariate(1 / spec.cancel_burst_every_s)
    position = 0
    while now < spec.duration_s:
        while position < len(jobs) and jobs[position].at <= now:
            position += 1
        recent = range(max(position - spec.cancel_burst_jobs, 0), position)
        for index in recent:
            job = jobs[index]
            if job.cancel_at is None and not job.work.is_service:
                jobs[index] = attrs.evolve(job, cancel_at=now)
        now += rng.expovariate(1 / spec.cancel_burst_every_s)
    return jobs
