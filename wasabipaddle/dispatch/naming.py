"""Choice of the runners that a request to the eligibility service names."""

import math

__all__ = ["MAX_RUNNERS_PER_REQUEST", "Naming"]

# Largest number of runners named in one request.
MAX_RUNNERS_PER_REQUEST = 30
# Least number named, so that a runner that is taken before the answer can be replaced.
MIN_RUNNERS_PER_REQUEST = 4
# Time by which further runners may prolong a request, since a second request takes
# much longer.
FURTHER_RUNNERS_S = 0.01
# Part of the named runners that is taken as eligible until answers show another one,
# and weight of the latest answer in its moving average.
INITIAL_SHARE = 0.5
LEARNING_WEIGHT = 0.1
# Number of standard deviations by which the expected number of places has to exceed
# the number of tasks.
CONFIDENCE = 0.7


class Naming:
    """Names as many runners as the tasks of a step are likely to need.

    The response time of the service grows with the number of runners, and steps that
    ask at the same time must not all name the same free runners.

    Attributes
    ----------
    shares : dict of str to float
        Learned part of the named runners that is eligible, by queue.
    claims : dict of tuple to (float, tuple of RunnerState)
        Requests without an answer by the key of their step: processors that the step is
        expected to use on each named runner, in thousandths of a core, and the runners.
    claimed_cpu : dict of str to float
        Sum of these processors by runner.
    """

    def __init__(self):
        self.shares = {}
        self.claims = {}
        self.claimed_cpu = {}

    def begin(self, step, runners):
        """Claim room for a step whose request names the runners."""
        cpu = _waiting_tasks(step) * step.spec.cpu / len(runners)
        self.claims[step.key] = (cpu, runners)
        for runner in runners:
            self.claimed_cpu[runner.id] = self.claimed_cpu.get(runner.id, 0.0) + cpu

    def end(self, step):
        """Release the claim of a step whose request has ended."""
        cpu, runners = self.claims.pop(step.key, (0.0, ()))
        for runner in runners:
            left = self.claimed_cpu.pop(runner.id, 0.0) - cpu
            if left >= 1.0:
                self.claimed_cpu[runner.id] = left

    def learn(self, step, *, named, eligible):
        """Record how many of the runners that were not known before are eligible."""
        if named:
            name = step.job.queue.name
            share = self.shares.get(name, INITIAL_SHARE)
            self.shares[name] = share + LEARNING_WEIGHT * (eligible / named - share)

    def free_cpu(self, runner) -> float:
        """Return the part of the processors that is neither reserved nor claimed."""
        claimed = self.claimed_cpu.get(runner.id, 0.0)
        return runner.free_cpu_fraction - claimed / (runner.entry.capacity.cpu or 1)

    def choose(self, step, runners):
        """Return the runners to name of those that are not known for a step."""
        share = self.shares.get(step.job.queue.name, INITIAL_SHARE)
        return self._take(step, runners, share)

    def choose_known(self, step, runners):
        """Return the runners to name of those that are eligible, to renew tickets."""
        return self._take(step, runners, 1.0)

    def _take(self, step, runners, share):
        """Return the freest runners, up to the number that is likely to be enough."""
        policy = step.job.queue.advice
        further = int(FURTHER_RUNNERS_S / max(policy.per_runner_s, 1e-6))
        tasks = _waiting_tasks(step)
        expected = variance = 0.0
        ordered = sorted(runners, key=self.free_cpu, reverse=True)
        for number, runner in enumerate(ordered, start=1):
            places = self._places(step, runner, tasks)
            expected += share * places
            variance += share * (1 - share) * places**2
            if expected - CONFIDENCE * math.sqrt(variance) >= tasks:
                least = max(number + further, MIN_RUNNERS_PER_REQUEST)
                return ordered[: min(least, MAX_RUNNERS_PER_REQUEST)]
        return ordered[:MAX_RUNNERS_PER_REQUEST]

    def _places(self, step, runner, tasks) -> int:
        """Return how many tasks of a step a runner is expected to hold at the answer.

        A runner without room counts as one place, since it may get room until then.
        """
        spec = step.spec
        places = tasks
        if spec.max_per_runner:
            places = min(places, spec.max_per_runner)
        if spec.cpu and not spec.opportunistic:
            free = self.free_cpu(runner) * runner.entry.capacity.cpu
            places = min(places, int(free // spec.cpu))
        if spec.memory_mb:
            free_mb = runner.entry.capacity.memory_mb - runner.memory_mb
            places = min(places, free_mb // spec.memory_mb)
        return max(places, 1)


def _waiting_tasks(step) -> int:
    """Return how many tasks a step has to start, also if it is not open yet."""
    return len(step.pending) if step.opened else step.remaining
