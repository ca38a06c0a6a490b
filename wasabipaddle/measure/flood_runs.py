"""Floods of runs against the placer, as part of the measure `flood`."""

import collections
import random

import attrs

from wasabipaddle.documents import Quota, Resources, ServiceKind, TeamQuota, Urgency
from wasabipaddle.measure.driver import Driver
from wasabipaddle.measure.records import Inputs, InputSpec, Job, TaskTruth, WorkerSpec
from wasabipaddle.placement import Placer, Work, baseline_placer

__all__ = ["RunFlood", "run_flood"]

CORES = 32
TASK = Resources(cpu_milli=1000, memory_mb=1024)
WORKER = Resources(cpu_milli=CORES * 1000, memory_mb=CORES * 2048)
MEDIAN_S = 1.0
MEAN_S = MEDIAN_S * 1.47  # approximate mean of the capped lognormal
# Longest run time as a multiple of the median.
LONGEST_FACTOR = 5.0
# Loads as a multiple of the capacity of all workers.
OTHER_LOAD = 0.6
FLOOD_LOAD = 10.0
# Guaranteed floor of a service as a multiple of its load.
FLOOR_FACTOR = 1.4
WARM_S = 5.0
# Runs that arrive within this time before the end of the flood are not counted, since
# they may still run at the end.
SETTLE_S = 6.0


@attrs.frozen(kw_only=True)
class RunFlood:
    """Result of one flood of runs.

    Parameters
    ----------
    completed : dict of str to int
        Completed runs of each other service, among those that arrived during the
        flood and at least `SETTLE_S` before its end.
    use : float
        Mean number of running tasks during the flood.
    """

    completed: dict
    use: float
    overfilled: int


def run_flood(seed, *, workers, flood_s, urgency, teams, use_baseline) -> RunFlood:
    """Drive a placer through a flood of one class.

    Parameters
    ----------
    workers : int
        Number of workers.
    flood_s : float
        Length of the flood.
    urgency : Urgency or None
        Urgency class of the flood; None for no flood.
    teams : int
        Number of teams that submit the flood.
    use_baseline : bool
        Use the baseline placer.
    """
    until = WARM_S + flood_s
    rate = workers * CORES / MEAN_S
    services = [f"{u.value}-{i}" for u in Urgency for i in range(2)]
    part = OTHER_LOAD / len(services)
    jobs = []
    for service in services:
        service_urgency = Urgency(service.partition("-")[0])
        jobs += _jobs(seed, service, service_urgency, rate * part, 0.0, until)
    if urgency is not None:
        for i in range(teams):
            team_rate = rate * FLOOD_LOAD / teams
            jobs += _jobs(seed, f"flood-{i}", urgency, team_rate, WARM_S, until)
    inputs = _inputs(seed, workers, sorted(jobs, key=lambda j: j.at))
    driver = Driver(
        inputs=inputs,
        make_placer=baseline_placer if use_baseline else Placer,
        sample_s=0.25,
    )
    if not use_baseline:
        for service in services:
            driver.placer.set_floor(service, part * FLOOR_FACTOR)
    driver.run(until)
    completed = collections.Counter(
        r.job.work.service
        for r in driver.runs.values()
        if not r.remaining and WARM_S <= r.job.at <= until - SETTLE_S
    )
    during = [s.running for s in driver.outcomes.samples if s.at >= WARM_S]
    return RunFlood(
        completed={s: completed[s] for s in services},
        use=sum(during) / len(during),
        overfilled=driver.outcomes.overfilled,
    )


def _jobs(seed, service, urgency, rate, begin, end):
    rng = random.Random(f"runs/{service}/{seed}")
    jobs, now = [], begin
    while (now := now + rng.expovariate(rate)) < end:
        run_s = MEDIAN_S * min(rng.lognormvariate(0, 1.0), LONGEST_FACTOR)
        work = Work(
            run=f"{service}.{len(jobs)}",
            service=service,
            team=f"team-{service}",
            kind=ServiceKind.BATCH,
            urgency=urgency,
            needs=TASK,
            expected_s=MEDIAN_S,
        )
        jobs.append(Job(at=now, work=work, tasks=(TaskTruth(use=TASK, run_s=run_s),)))
    return jobs


def _inputs(seed, workers, jobs):
    specs = tuple(
        WorkerSpec(name=f"w{i}", rack=f"r{i // 8}", data_centre="dc", size=WORKER)
        for i in range(workers)
    )
    capacity = sum((w.size for w in specs), Resources())
    teams = sorted({j.work.team for j in jobs})
    return Inputs(
        spec=InputSpec(seed=seed, workers=workers),
        workers=specs,
        quotas=tuple(TeamQuota(team=t, quota=Quota(resources=capacity)) for t in teams),
        profiles=(),
        jobs=tuple(jobs),
        capacity=capacity,
    )
