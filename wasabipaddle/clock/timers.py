"""Periodic timers, as observables, and one-shot timers of one process."""

import asyncio

import reactivex
from reactivex.disposable import Disposable
from reactivex.subject import Subject

__all__ = ["TimerService"]


class TimerService:
    """Periodic and one-shot timers on the running asyncio loop.

    A periodic timer emits the loop time at which it fired. Timers work the same on
    a real loop and on a `VirtualTimeLoop`.

    Parameters
    ----------
    random : random.Random
        Source of jitter.
    """

    def __init__(self, *, random):
        self.random = random
        self.stopped = False

    def every(self, period_s, *, jitter=0.1) -> reactivex.Observable:
        """Return an observable that emits about every `period_s` seconds.

        Parameters
        ----------
        period_s : float
            Mean time between two emissions, in seconds.
        jitter : float
            Largest relative deviation of one interval from `period_s`.
        """

        def subscribe(observer, scheduler=None):
            loop = asyncio.get_running_loop()
            subject = Subject()
            subscription = subject.subscribe(observer)
            handles = []

            def schedule():
                factor = 1 + jitter * (2 * self.random.random() - 1)
                handles[:] = [loop.call_later(period_s * factor, emit)]

            def emit():
                if self.stopped or not handles:
                    return
                schedule()
                subject.on_next(loop.time())

            def dispose():
                for handle in handles:
                    handle.cancel()
                handles.clear()
                subscription.dispose()

            schedule()
            return Disposable(dispose)

        return reactivex.create(subscribe)

    def after(self, delay_s, action):
        """Call `action` once after `delay_s` seconds.

        Returns
        -------
        asyncio.TimerHandle
            Handle whose `cancel` prevents the call.
        """
        return asyncio.get_running_loop().call_later(delay_s, action)

    def stop(self):
        """Stop every periodic timer of this service; one-shot timers still fire."""
        self.stopped = True
