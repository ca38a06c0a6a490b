"""Sources of the current time."""

import abc
import asyncio
import time

import attrs

__all__ = ["Clock", "LoopClock", "ManualClock"]


class Clock(abc.ABC):
    """Source of monotonic and wall-clock time."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return monotonic time in seconds."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Return wall-clock time in milliseconds since the Unix epoch."""

    def boot_s(self) -> float:
        """Return monotonic time in seconds that counts suspensions of the machine."""
        return self.now()


class LoopClock(Clock):
    """Clock of the running asyncio loop, real or virtual."""

    def now(self) -> float:
        """Return the time of the running loop in seconds."""
        return asyncio.get_running_loop().time()

    def wall_ms(self) -> int:
        """Return wall-clock time in milliseconds, or virtual time on a virtual loop."""
        loop = asyncio.get_running_loop()
        if getattr(loop, "is_virtual", False):
            return int(loop.time() * 1000)
        return time.time_ns() // 1_000_000

    def boot_s(self) -> float:
        """Return time since boot in seconds, or virtual time on a virtual loop."""
        if getattr(asyncio.get_running_loop(), "is_virtual", False):
            return self.now()
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define(kw_only=True)
class ManualClock(Clock):
    """Clock that a test or measurement advances explicitly.

    Parameters
    ----------
    time_s : float
        Current time in seconds.
    """

    time_s: float = 0.0

    def now(self) -> float:
        """Return the current time in seconds."""
        return self.time_s

    def wall_ms(self) -> int:
        """Return the current time in milliseconds."""
        return int(self.time_s * 1000)

    def advance(self, seconds):
        """Move the clock forward by `seconds`."""
        self.time_s += seconds
