"""Generators of the fleet, services and quotas of an input."""

import math

import attrs

from wasabipaddle.documents import Quota, Resources, ServiceKind, TeamQuota, Urgency
from wasabipaddle.measure.records import ServiceProfile, WorkerSpec

__all__ = ["load_ratio", "make_fleet", "make_profiles", "make_quotas", "set_rates"]

WORKERS_PER_RACK = 8
DATA_CENTRE = "brescia-a"
LARGE = Resources(cpu_milli=64_000, memory_mb=262_144)
SMALL = Resources(cpu_milli=32_000, memory_mb=131_072)
WITH_ACCELERATORS = Resources(cpu_milli=96_000, memory_mb=524_288, accelerators=8)
SMALL_FRACTION = 0.4
# Load of accelerators relative to that of processors and memory; below 1, so that
# accelerators are not the only limit.
ACCELERATOR_LOAD = 0.7
# Quota of a team as a multiple of the mean use of its services.
QUOTA_FACTOR = 3.0


def make_fleet(spec, rng) -> tuple[WorkerSpec, ...]:
    """Return the workers in random order, so that racks mix sizes."""
    sizes = [WITH_ACCELERATORS] * (spec.accelerators // 8)
    without_accelerators = max(spec.workers - len(sizes), 0)
    small = int(without_accelerators * SMALL_FRACTION)
    sizes += [SMALL] * small + [LARGE] * (without_accelerators - small)
    rng.shuffle(sizes)
    bad = set(rng.sample(range(len(sizes)), int(spec.bad_workers * len(sizes))))
    return tuple(
        WorkerSpec(
            name=f"w{i:04d}",
            rack=f"rack{i // WORKERS_PER_RACK:03d}",
            data_centre=DATA_CENTRE,
            size=size,
            bad=i in bad,
        )
        for i, size in enumerate(sizes)
    )


def make_profiles(spec, rng):
    """Return the services of all teams with their relative popularity."""
    profiles = []
    for number in range(spec.services):
        kind = (
            ServiceKind.SERVICE
            if number % 5 == 0
            else ServiceKind.GANG
            if number % 5 == 1 and spec.gang_load
            else ServiceKind.BATCH
        )
        profiles.append(_profile(spec, rng, number, kind))
    return profiles


def _profile(spec, rng, number, kind):
    cpu = min(max(rng.lognormvariate(math.log(4000), 0.8), 250), 16_000)
    memory = cpu * 4 * min(max(rng.lognormvariate(0, 0.5), 0.25), 2)
    accelerators = rng.choice((1, 2, 4)) if rng.random() < 0.2 else 0
    if kind is ServiceKind.SERVICE:
        accelerators, urgency = 0, Urgency.NORMAL
    elif kind is ServiceKind.GANG:
        urgency = rng.choice((Urgency.NORMAL, Urgency.DEFERRABLE))
    else:
        urgency = rng.choices(list(Urgency), spec.urgencies)[0]
    true = Resources(
        cpu_milli=int(cpu), memory_mb=int(memory), accelerators=accelerators
    )
    run_s = spec.median_run_s * min(max(rng.lognormvariate(0, 0.8), 0.1), 6)
    return ServiceProfile(
        service=f"service{number:03d}",
        team=f"team{number % spec.teams:03d}",
        kind=kind,
        urgency=urgency,
        needs=_declared_needs(spec, rng, true),
        true=true,
        median_run_s=math.inf if kind is ServiceKind.SERVICE else run_s,
        run_sigma=rng.uniform(0.3, 1.0),
        popularity=min(rng.paretovariate(1.2), 20),
        mean_tasks=_mean_tasks(spec, rng, kind),
        weight=rng.choice((1, 1, 2, 4)),
        spread=kind is ServiceKind.SERVICE,
    )


def _mean_tasks(spec, rng, kind):
    if kind is ServiceKind.GANG:
        return math.exp(rng.uniform(math.log(2), math.log(spec.largest_gang)))
    return rng.uniform(1, 6)


def _declared_needs(spec, rng, true):
    """Return the true use with a random error, limited to the smallest VM."""

    def misdeclared(amount, limit):
        exponent = rng.uniform(-1, 1)
        return min(max(int(amount * spec.declared_error**exponent), 1), limit)

    return Resources(
        cpu_milli=misdeclared(true.cpu_milli, SMALL.cpu_milli),
        memory_mb=misdeclared(true.memory_mb, SMALL.memory_mb),
        accelerators=true.accelerators,
    )


def mean_run_s(profile):
    """Return the approximate mean run time in seconds, tail included."""
    return profile.median_run_s * math.exp(profile.run_sigma**2 / 2) * 1.05


def load_ratio(profiles, capacity, weight_of):
    """Return weighted true use over capacity in the scarcer dimension."""
    cpu = sum(weight_of(p) * p.true.cpu_milli for p in profiles)
    memory = sum(weight_of(p) * p.true.memory_mb for p in profiles)
    return max(cpu / capacity.cpu_milli, memory / capacity.memory_mb)


def mean_running_tasks(profile):
    """Return the mean number of running tasks if popularity is in jobs per second."""
    return profile.popularity * profile.mean_tasks * mean_run_s(profile)


def limit_accelerators(profiles, capacity):
    """Reduce the popularity of profiles that need accelerators.

    The load of accelerators is then about `ACCELERATOR_LOAD` times that of the scarcer
    of processor and memory, or less.

    Without accelerators in the fleet, profiles that need them are dropped.
    """
    accelerated = [p for p in profiles if p.true.accelerators]
    if not accelerated or not capacity.accelerators:
        return [p for p in profiles if not p.true.accelerators]
    others = [p for p in profiles if not p.true.accelerators]
    used = (
        sum(mean_running_tasks(p) * p.true.accelerators for p in accelerated)
        / capacity.accelerators
    )
    own = load_ratio(accelerated, capacity, mean_running_tasks)
    wanted = ACCELERATOR_LOAD * load_ratio(others, capacity, mean_running_tasks)
    factor = wanted / max(used - ACCELERATOR_LOAD * own, used / 10)
    return others + [
        attrs.evolve(p, popularity=p.popularity * min(factor, 1.0)) for p in accelerated
    ]


def set_rates(spec, capacity, batch, batch_load, gangs):
    """Scale popularity to jobs per second, and run times if the rate is given.

    Returns the batch profiles and the gang profiles.
    """
    parts = []
    for profiles, load in ((batch, batch_load), (gangs, spec.gang_load)):
        if profiles:
            factor = load / load_ratio(profiles, capacity, mean_running_tasks)
            parts.append(
                [attrs.evolve(p, popularity=p.popularity * factor) for p in profiles]
            )
        else:
            parts.append([])
    if spec.peak_starts_s is None:
        return parts
    starts = sum(p.popularity * p.mean_tasks for part in parts for p in part)
    factor = spec.peak_starts_s / ((1 + spec.diurnal) * starts)
    return [
        [
            attrs.evolve(
                p,
                popularity=p.popularity * factor,
                median_run_s=p.median_run_s / factor,
            )
            for p in part
        ]
        for part in parts
    ]


def make_quotas(spec, profiles, capacity):
    """Return a quota per team, a multiple of the mean use of its services.

    A quota is at least a twentieth of the fleet and holds two of the largest gangs.
    """
    needs = {}
    for profile in profiles:
        running = profile.popularity * profile.mean_tasks
        if profile.kind is not ServiceKind.SERVICE:
            running *= mean_run_s(profile)
            running += 2 * profile.mean_tasks
        needs.setdefault(profile.team, []).append((running, profile.true))
    quotas = []
    for team, parts in sorted(needs.items()):
        cpu = sum(n * t.cpu_milli for n, t in parts)
        memory = sum(n * t.memory_mb for n, t in parts)
        gangs = [p for p in profiles if p.team == team and p.kind is ServiceKind.GANG]
        largest = 2 * spec.largest_gang
        least = (
            max([p.needs.cpu_milli * largest for p in gangs], default=0),
            max([p.needs.memory_mb * largest for p in gangs], default=0),
        )
        least = (
            max(least[0], capacity.cpu_milli // 20),
            max(least[1], capacity.memory_mb // 20),
        )
        quotas.append(
            TeamQuota(
                team=team,
                quota=Quota(
                    resources=Resources(
                        cpu_milli=max(int(QUOTA_FACTOR * cpu), least[0]),
                        memory_mb=max(int(QUOTA_FACTOR * memory), least[1]),
                        accelerators=capacity.accelerators,
                    )
                ),
            )
        )
    return tuple(quotas)
