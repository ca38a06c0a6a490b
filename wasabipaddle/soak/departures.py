"""Departures of runners after the watches of the store have been lost."""

import asyncio

from wasabipaddle.soak.ledger import SETTLE_S

__all__ = ["Departures"]

# Time for which watches hear nothing before the store drops its history, and time in
# which every open watch falls silent.
UNANSWERED_S = 1.2
SILENCE_S = 0.1
RUNNER_COUNT = 2
LEAVES_IN_S = 6.0


class Departures:
    """Last phase of a soak test, without other faults.

    Parameters
    ----------
    platform : SoakPlatform
        Store and runners.
    ledger : SoakLedger
        Checks that no run starts on a runner that has begun to leave.
    random : random.Random
        Random number generator for all choices.
    log : list of str
        Receives a line for each fault and departure.
    """

    def __init__(self, *, platform, ledger, random, log):
        self.platform = platform
        self.ledger = ledger
        self.random = random
        self.log = log

    async def run(self):
        """Lose the watches, and let runners leave once that is no excuse any more."""
        lose = self.random.choice((self._drop_history, self._silence_watches))
        await lose()
        self.ledger.last_fault_end_s = self.ledger.now()
        self._note(lose.__name__.removeprefix("_"))
        await asyncio.sleep(SETTLE_S)
        await asyncio.gather(*(self._replace(name) for name in self._choose()))

    def _choose(self):
        """Return the runners that leave.

        A reserved runner may be the only one that tasks in progress can run on.
        """
        free = sorted(set(self.platform.runners) - self.platform.reserved_runners)
        return self.random.sample(free, RUNNER_COUNT)

    async def _drop_history(self):
        """Answer no watch for a while, then cut the watches and drop the history."""
        memory = self.platform.memory
        memory.watches_answered = False
        await asyncio.sleep(UNANSWERED_S)
        memory.forget_history()
        memory.cut_watches()
        memory.watches_answered = True

    async def _silence_watches(self):
        """Let every open watch be without an answer; new ones are answered."""
        memory = self.platform.memory
        memory.watches_answered = False
        memory.changed.set()
        await asyncio.sleep(SILENCE_S)
        memory.watches_answered = True

    async def _replace(self, name):
        self._note(f"{name} begins to leave")
        await self.platform.replace_runner(name, LEAVES_IN_S)

    def _note(self, text):
        self.log.append(f"{self.ledger.now():.1f} {text}")
