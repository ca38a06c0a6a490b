"""What a process knows of all processes of its cell."""

from wasabipaddle.cell.election import FAR_LATENCY_S

__all__ = ["LIVENESS_TIMEOUT_S", "MAX_HELLO_AGE_S", "RETENTION_S", "Roster"]

# A process that has not been heard from for this long does not count as live.
LIVENESS_TIMEOUT_S = 2.0
# Two of the longest intervals between hello messages; a process not heard from for
# longer may be frozen, cut off or gone.
MAX_HELLO_AGE_S = 1.1
# Time for which a process is remembered while only others are heard from.
RETENTION_S = 120.0
# A process is weak if its processing power is below this share of that of the strongest
# live process.
WEAK_SHARE = 0.6


class Roster:
    """Known processes of a cell: addresses, signs of life and suitability to lead.

    Parameters
    ----------
    context : Context
        Services of the process.

    Attributes
    ----------
    addresses : dict of str to str
        Internal listener of each known process, by name.
    last_heard_s : dict of str to float
        Monotonic time at which each process was last known to be live, by name. The
        leader records it at each hello message; other processes record it for all
        members that a reply of the leader lists. A process known only by its address
        gets the time `LIVENESS_TIMEOUT_S` earlier.
    leaving : set of str
        Names of the processes that have said that they are shutting down.
    latencies, incarnations, processing_power : dict
        Latency of the store at each process in seconds, start of the process in Unix
        milliseconds, and its processing power in cores, by name. Only the leader
        receives those of other processes.
    """

    def __init__(self, *, context):
        settings = context.settings
        self.clock = context.clock
        self.random = context.random
        self.own_name = settings.process
        self.addresses = {}
        self.last_heard_s = {}
        self.leaving = set()
        self.latencies = {}
        self.incarnations = {}
        self.processing_power = {settings.process: settings.processor}

    def set_address(self, process, address):
        """Record the address of a process, which is no sign of life."""
        self.addresses[process] = address
        self.last_heard_s.setdefault(process, self.clock.now() - LIVENESS_TIMEOUT_S)

    def record_hello(self, hello):
        """Record the content of a `MemberHello`."""
        self.set_address(hello.process, hello.address)
        self.last_heard_s[hello.process] = self.clock.now()
        self.latencies[hello.process] = hello.store_latency_s
        self.incarnations[hello.process] = hello.life
        self.processing_power[hello.process] = hello.processor
        if hello.draining:
            self.leaving.add(hello.process)
        else:
            self.leaving.discard(hello.process)

    def record_members(self, members):
        """Record the addresses by name of the members that the leader lists as live.

        A leader must not take its own list as a sign of life of the members: a removed
        one would stay in it for ever.
        """
        now = self.clock.now()
        for process, address in members.items():
            self.set_address(process, address)
            self.last_heard_s[process] = now
        self.leaving.difference_update(members)

    def listed_members(self):
        """Return the addresses, by name, of the members to list in a reply.

        A process that may be gone is left out, since the receiver counts all listed
        ones as heard from at that moment.
        """
        return {
            process: self.addresses[process]
            for process in self.live()
            if process in self.addresses
            and process not in self.leaving
            and self.heard_within(process, MAX_HELLO_AGE_S)
        }

    def live(self):
        """Return the names of the live processes, this one first.

        Other processes that are shutting down are left out.
        """
        now = self.clock.now()
        others = [
            process
            for process, heard_s in self.last_heard_s.items()
            if now - heard_s < LIVENESS_TIMEOUT_S
            and process not in self.leaving
            and process != self.own_name
        ]
        return [self.own_name, *others]

    def heard_within(self, process, seconds) -> bool:
        """Return whether a process was known to be live within the last `seconds`."""
        if process == self.own_name:
            return True
        heard_s = self.last_heard_s.get(process)
        return heard_s is not None and self.clock.now() - heard_s <= seconds

    def peers(self, *, leader):
        """Return the names of all other known processes, in the order to ask them in.

        The live ones come first, the leader before all, the others in random order.
        Then come those that are shutting down or silent, the latest heard first.
        """
        live = self.live()[1:]
        self.random.shuffle(live)
        live.sort(key=lambda process: process != leader)
        rest = [p for p in self.addresses if p != self.own_name and p not in live]
        rest.sort(key=lambda process: -self.last_heard_s[process])
        return [*live, *rest]

    def forget_departed(self, *, leader):
        """Remove all that is known of processes that were silent for `RETENTION_S`.

        That time is measured from the latest sign of life of any other process: one
        that is cut off hears nobody and must not forget the addresses of the others.

        Returns
        -------
        list of str
            Names of the removed processes.
        """
        others = [p for p in self.last_heard_s if p != self.own_name]
        latest_s = max((self.last_heard_s[p] for p in others), default=0.0)
        departed = [
            process
            for process in others
            if process != leader and latest_s - self.last_heard_s[process] > RETENTION_S
        ]
        for process in departed:
            self.leaving.discard(process)
            for known in (
                self.addresses,
                self.last_heard_s,
                self.latencies,
                self.incarnations,
                self.processing_power,
            ):
                known.pop(process, None)
        return departed

    def is_far(self, process) -> bool:
        """Return whether the latency of the store at a process is high."""
        return self.latencies.get(process, 0.0) > FAR_LATENCY_S

    @property
    def largest_processing_power(self) -> float:
        """Largest processing power among the live processes, in cores."""
        return max(self.processing_power.get(process, 0.0) for process in self.live())

    def is_weak(self, process) -> bool:
        """Return whether a live process has much more processing power."""
        return (
            self.processing_power.get(process, 0.0)
            < WEAK_SHARE * self.largest_processing_power
        )
