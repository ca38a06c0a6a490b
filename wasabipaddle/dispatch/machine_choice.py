"""Choice of the machines that have their maintenance next."""

import math

from wasabipaddle.dispatch.operations import WaveWaitReason

__all__ = ["MachineChoice", "WavePace", "deadline_ms"]

MS_PER_S = 1000
# Shortest and longest time for which runs may end by themselves before they are
# stopped.
MIN_DRAIN_S = 1.0
MAX_DRAIN_S = 20.0
# Time that a machine takes beyond its drain and its maintenance: calls and lists.
ROUND_MARGIN_S = 2.0
# Time for which a machine without a known runner must be listed unchanged. A new runner
# registers within it.
UNKNOWN_RUNNER_S = 3.0
# Pause before a machine is drained again that could not be drained or was refused.
PAUSE_S = 3.0
# Pause before a machine is drained again that the service did not answer for.
SERVICE_PAUSE_S = 30.0
# Number of machines of a wave that are examined closely in a round.
MAX_EXAMINED = 8


def deadline_ms(progress) -> float:
    """Return the Unix time in milliseconds at which a wave should have ended."""
    return progress.first_seen_ms + progress.wave.duration_s * MS_PER_S


class WavePace:
    """What the time that is left to a wave allows.

    Parameters
    ----------
    progress : WaveProgress
        Progress of the wave.
    left : list of str
        Machines that have not begun.
    state : CellState
        Shared state.

    Attributes
    ----------
    left_s : float
        Time that is left, in seconds; negative after the end.
    drain_s : float
        Time for which runs may end by themselves.
    pressed, late : bool
        Whether that is the shortest time, and whether the wave ends too late even so.
    """

    def __init__(self, *, progress, left, state, now):
        wall_ms = (now + state.wall_offset_s) * MS_PER_S
        self.left_s = (deadline_ms(progress) - wall_ms) / MS_PER_S
        cap = progress.wave.cap
        rounds = math.ceil(len(left) / cap) if cap else math.inf
        least_s = state.timing.maintenance_s + ROUND_MARGIN_S
        drain_s = self.left_s / rounds - least_s
        self.drain_s = min(max(drain_s, MIN_DRAIN_S), MAX_DRAIN_S)
        self.pressed = drain_s <= MIN_DRAIN_S
        self.late = rounds * least_s > self.left_s


class MachineChoice:
    """Chooses the machines whose maintenance costs callers least.

    Under load, runners that give no service go first, then those of
    racks and data centres with the fewest machines away, then those with the least
    work to lose.

    Parameters
    ----------
    state : CellState
        Shared state.
    drains : Drains
        Tells what a drain costs, and what hinders it.
    view : MachineView
        Machines by the latest list.
    operations : dict of str to Operation
        Operations by machine.

    Attributes
    ----------
    pauses : dict of str to tuple of (float, WaveWaitReason)
        Times until which machines are not chosen, and why.
    """

    def __init__(self, *, state, drains, view, operations):
        self.state = state
        self.drains = drains
        self.view = view
        self.operations = operations
        self.pauses = {}

    def pause(self, name, now, reason):
        """Do not choose a machine for a while."""
        pause_s = SERVICE_PAUSE_S if reason is WaveWaitReason.SERVICE else PAUSE_S
        self.pauses[name] = (now + pause_s, reason)

    def choose(self, progress, left, pace, now, *, count):
        """Return up to `count` machines to drain, and what hinders others.

        Parameters
        ----------
        left : list of str
            Machines of the wave that have not begun.
        pace : WavePace
            What the time that is left allows.

        Returns
        -------
        tuple of (list of str, list of WaveWaitReason)
        """
        self.pauses = {n: pause for n, pause in self.pauses.items() if now < pause[0]}
        chosen, reasons, candidates = [], [], []
        for name in left:
            if name in self.operations:
                if self.operations[name].wave != progress.number:
                    reasons.append(WaveWaitReason.OTHER_WAVE)
                continue
            reason = self._find_hindrance(name, now)
            if reason is None:
                candidates.append(name)
            else:
                reasons.append(reason)
        costs = {name: self._cost(name, now + pace.drain_s, now) for name in candidates}
        for _ in range(min(MAX_EXAMINED, len(candidates))):
            if len(chosen) == count:
                break
            name = min(costs, key=lambda n: self._rank(n, costs[n], chosen))
            del costs[name]
            runner = self.state.runners.get(self.view.machines[name].runner)
            obstacle = runner and self.drains.find_obstacle(
                runner, now, pressed=pace.pressed
            )
            if obstacle:
                reasons.append(WaveWaitReason(obstacle.value))
                self.pause(name, now, reasons[-1])
            else:
                chosen.append(name)
        return chosen, reasons

    def _find_hindrance(self, name, now):
        """Return why a machine cannot be drained now, or None."""
        if not self.view.is_up(name):
            return WaveWaitReason.MACHINE
        if name in self.pauses:
            return self.pauses[name][1]
        if self.view.machines[name].runner not in self.state.runners:
            unchanged_s = now - self.view.unchanged_since_s[name]
            if unchanged_s < UNKNOWN_RUNNER_S:
                return WaveWaitReason.MACHINE
        return None

    def _cost(self, name, until_s, now):
        """Return whether a runner gives service, and what its drain would lose."""
        runner = self.state.runners.get(self.view.machines[name].runner)
        if runner is None:
            return False, 0.0
        sound = runner.usable(now) and not runner.health.failures
        return sound, self.drains.cost(runner, until_s, now)

    def _rank(self, name, cost, chosen):
        """Return the order of a machine next to those that are away or chosen."""
        machine, machines = self.view.machines[name], self.view.machines
        names = {*self.operations, *chosen}
        away = [machines[other] for other in names if other in machines]
        sound, lost_s = cost
        return (
            sound,
            sum(other.rack == machine.rack for other in away),
            sum(other.data_centre == machine.data_centre for other in away),
            lost_s,
            name,
        )
