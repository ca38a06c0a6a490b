"""Property test of waves of maintenance: random machines, faults and takeovers."""

import pytest

from wasabipaddle.dispatch import availability
from wasabipaddle.dispatch.drains import Drains
from wasabipaddle.dispatch.machines_away import MachinesAway
from wasabipaddle.dispatch.operations import OperationPhase, WaveProgress
from wasabipaddle.dispatch.tests.maintenance_world import World

SEEDS = range(12)
# Seeds within which each mutation of the decision must be found.
MUTATION_SEEDS = range(30)
TROUBLE_S = 60.0
CALM_S = 150.0


def disturb(world):
    """Bring about one random fault or request."""
    rng = world.random
    draw = rng.random()
    runners = list(world.runners)
    if draw < 0.3:
        world.fail_over()
    elif draw < 0.45:
        world.runners[rng.choice(runners)].sick ^= True
    elif draw < 0.55:
        world.unresponsive ^= {rng.choice(runners)}
    elif draw < 0.63:
        machine = rng.choice(list(world.machines.values()))
        if not machine.gone and not machine.away_until_s and len(world.runners) > 7:
            machine.gone = True
            world._end_runner(machine.runner)
    elif draw < 0.7:
        number = rng.randint(1, 3)
        names = rng.sample([*world.machines, "unknown"], rng.randint(1, 5))
        before = world.waves.get(number)
        world.request(number, names, cap=max(before.cap if before else 1, 1))
    elif draw < 0.75 and len(world.waves) > 1:
        world.withdraw(rng.choice(list(world.waves)))
    elif 0.75 <= draw < 0.85:
        machine = rng.choice(list(world.machines.values()))
        if not machine.gone and not machine.away_until_s:
            world.restart(machine.name)


def play(seed):
    """Play one seed and return its world, at the end without faults."""
    world = World(machines=9, seed=seed)
    for i in range(world.random.randint(2, 4)):
        allowance = world.random.choice([-1, 1, 1, 2])
        world.submit_lasting(f"{i:016x}", world.random.randint(2, 4), allowance)
    world.run(3.0)
    names = list(world.machines)
    world.request(1, world.random.sample(names, 6), cap=world.random.randint(1, 3))
    world.request(2, world.random.sample(names, 3), cap=1)
    end_s = world.now + TROUBLE_S
    while world.now < end_s and not world.violations:
        world.tick()
        if world.random.random() < 0.08:
            disturb(world)
        if world.random.random() < 0.2:
            world.submit_batch()
        if world.random.random() < 0.5:
            world.end_batch_run()
    world.faults = False
    world.unresponsive.clear()
    for runner in world.runners.values():
        runner.sick = False
    end_s = world.now + CALM_S
    while world.now < end_s and not world.violations and not completed(world):
        world.tick()
        world.end_batch_run()
    return world


def completed(world):
    return all(world.maintenance.progress[n].completed for n in world.waves)


@pytest.mark.parametrize("seed", SEEDS)
def test_waves_keep_their_rules_and_end(seed):
    """Guards against broken caps and allowances, lost work, and early completion."""
    world = play(seed)
    assert world.violations == []
    progress = world.maintenance.progress
    open_waves = {
        n: (p.reason, p.machines_left()) for n, p in progress.items() if p.wave
    }
    assert completed(world), open_waves


def ignore_unanswered_calls(monkeypatch):
    """Count only machines whose maintenance is known to have begun."""
    find = MachinesAway.operations_of

    def find_begun(self, number, machines=()):
        found = find(self, number, machines)
        return [o for o in found if o.phase is not OperationPhase.ASKED or o.calling]

    monkeypatch.setattr(MachinesAway, "operations_of", find_begun)


def ignore_sick_runners(monkeypatch):
    """Count only the tasks that are interrupted."""
    monkeypatch.setattr(
        availability,
        "count_missing",
        lambda step, now, interrupted=(): len(interrupted),
    )


def complete_when_asked(monkeypatch):
    """Count machines that were only asked as begun."""
    left = WaveProgress.machines_left

    def not_asked(self):
        return [name for name in left(self) if name not in self.asked]

    monkeypatch.setattr(WaveProgress, "machines_left", not_asked)


def ask_for_busy_machines(monkeypatch):
    """Ask for machines whose runners are not empty."""
    monkeypatch.setattr(Drains, "is_empty", lambda self, runner_id: True)


@pytest.mark.parametrize(
    "mutate",
    [
        ignore_unanswered_calls,
        ignore_sick_runners,
        complete_when_asked,
        ask_for_busy_machines,
    ],
)
def test_mutation_is_found(monkeypatch, mutate):
    """Guards against a property test that no fault of the decision could fail."""
    mutate(monkeypatch)
    assert any(play(seed).violations for seed in MUTATION_SEEDS)
