"""Choice of the runners that a request to the eligibility service names."""

import math

import attrs

from wasabipaddle.dispatch.room import Room, demand

__all__ = ["MAX_RUNNERS_PER_REQUEST", "Naming"]

# Largest number of runners named in one request.
MAX_RUNNERS_PER_REQUEST = 30
# Least number named, so that a runner that is taken before the answer can be replaced.
MIN_RUNNERS_PER_REQUEST = 4
# Time by which further runners may prolong a request, since a second request takes
# much longer.
FURTHER_RUNNERS_S = 0.01
# Largest number of runners not yet asked about that are compared for a request, which
# bounds its cost to the dispatcher. Successive requests compare others.
MAX_COMPARED = 150
# Part of the named runners that is taken as eligible until answers show another one,
# and weight of the latest answer in its moving average.
INITIAL_SHARE = 0.5
LEARNING_WEIGHT = 0.1
# Number of answers for a step itself that count as much as the learned part.
QUEUE_WEIGHT = 10
# Number of standard deviations by which the expected number of places has to exceed
# the number of tasks.
CONFIDENCE = 0.7
# Chance that a runner without room for a task gets some until the answer arrives.
ROOM_CHANCE = 0.5


@attrs.define(kw_only=True)
class ExpectedUse:
    """What requests without an answer are expected to lead to on one runner.

    Parameters
    ----------
    requests : int
        Number of the requests.
    amounts : Room
        Resources that their tasks will reserve.
    """

    requests: int = 0
    amounts: Room = attrs.field(factory=Room)


class Naming:
    """Names as many runners as the tasks of a step are likely to need.

    The response time of the service grows with the number of runners, and steps that
    ask at the same time must not all name the same free runners. Runners with room for
    a task come first, whichever of its resources is scarce.

    Attributes
    ----------
    shares : dict of str to float
        Learned part of the named runners that is eligible, by queue.
    requests : dict of tuple to (float, tuple of RunnerState)
        Requests without an answer by the key of their step: number of tasks that are
        expected to start on each named runner, and the runners.
    expected_uses : dict of str to ExpectedUse
        What these requests are expected to lead to, by runner.
    compared : int
        Number of runners not yet asked about that requests have compared.
    """

    def __init__(self):
        self.shares = {}
        self.requests = {}
        self.expected_uses = {}
        self.compared = 0

    def begin(self, step, runners):
        """Count on the room of the named runners for a step."""
        tasks, needs = _waiting_tasks(step) / len(runners), demand(step.spec)
        self.requests[step.key] = (tasks, runners)
        for runner in runners:
            use = self.expected_uses.setdefault(runner.id, ExpectedUse())
            use.requests += 1
            use.amounts.add(needs, tasks)

    def end(self, step):
        """Count no longer on room for a step whose request has ended."""
        tasks, runners = self.requests.pop(step.key, (0.0, ()))
        needs = demand(step.spec)
        for runner in runners:
            use = self.expected_uses[runner.id]
            use.requests -= 1
            use.amounts.add(needs, -tasks)
            if not use.requests:
                del self.expected_uses[runner.id]

    def learn(self, step, *, named, eligible):
        """Record how many of the runners that were not known before are eligible."""
        if named:
            name = step.job.queue.name
            share = self.shares.get(name, INITIAL_SHARE)
            self.shares[name] = share + LEARNING_WEIGHT * (eligible / named - share)

    def choose(self, step, known, unknown):
        """Return the runners to name in a request.

        Runners with room come first, and of these the eligible ones. Their number is
        that which is likely to suffice for the waiting tasks. A runner without room may
        get room for one task until the answer arrives.

        Parameters
        ----------
        known, unknown : list of RunnerState
            Runners that are eligible, and those that the service has not been asked
            about.
        """
        tasks, needs = _waiting_tasks(step), demand(step.spec)
        share = self._expect_share(step)
        rows = [
            (*self._measure(step, runner, needs, tasks), chance, runner)
            for runners, chance in ((known, 1.0), (self._sample(unknown), share))
            for runner in runners
        ]
        rows.sort(key=lambda row: (not row[0], -row[2], -row[1]))
        number = self._count_needed(rows, tasks)
        if number < len(rows):
            number = max(number + self._count_further(step), MIN_RUNNERS_PER_REQUEST)
        return [row[3] for row in rows[: min(number, MAX_RUNNERS_PER_REQUEST)]]

    def _sample(self, runners):
        """Return the next of some runners to compare, in a cycle."""
        if len(runners) <= MAX_COMPARED:
            return runners
        begin = self.compared % len(runners)
        self.compared += MAX_COMPARED
        return (runners[begin:] + runners[:begin])[:MAX_COMPARED]

    def _expect_share(self, step) -> float:
        """Return the part of the runners not known for a step that is likely eligible.

        Steps of a queue differ, so that the known answers for a step count as well.
        """
        share = self.shares.get(step.job.queue.name, INITIAL_SHARE)
        eligible = len(step.eligibility.tickets)
        known = eligible + len(step.eligibility.ineligible)
        return (QUEUE_WEIGHT * share + eligible) / (QUEUE_WEIGHT + known)

    def _count_needed(self, rows, tasks):
        """Return how many of the first runners are likely to suffice for some tasks."""
        expected = variance = 0.0
        for number, (places, _, chance, _) in enumerate(rows, start=1):
            if not places:
                places, chance = 1, chance * ROOM_CHANCE
            expected += chance * places
            variance += chance * (1 - chance) * places**2
            if expected - CONFIDENCE * math.sqrt(variance) >= tasks:
                return number
        return len(rows)

    def _count_further(self, step):
        """Return how many further runners prolong a request by little."""
        return int(FURTHER_RUNNERS_S / max(step.job.queue.advice.per_runner_s, 1e-6))

    def _measure(self, step, runner, needs, tasks):
        """Return how many of some tasks a runner may hold, and its free part.

        What requests without an answer will use counts as taken.
        """
        room = Room.of_runner(runner)
        use = self.expected_uses.get(runner.id)
        if use is not None:
            room.subtract(use.amounts)
        limit = step.spec.max_per_runner
        if limit:
            tasks = min(tasks, limit - runner.step_runs.get(step, 0))
        return room.count(needs, tasks), room.share_of(runner.entry.capacity, needs)


def _waiting_tasks(step) -> int:
    """Return how many tasks a step has to start, also if it is not open yet."""
    return len(step.pending) if step.opened else step.remaining
