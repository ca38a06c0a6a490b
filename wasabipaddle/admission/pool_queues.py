"""Queues of one pool: services, urgency classes, floors and reserved slots."""

import collections
import heapq
import itertools
import math

from wasabipaddle.admission.estimate import ServiceEstimate
from wasabipaddle.documents import Urgency

__all__ = ["ClassQueue", "PoolQueues", "ServiceQueue"]

# Time constant of the decay of the recent peak of the slots in use.
PEAK_DECAY_S = 5.0
# Age after which reservations are recomputed when they leave no slot free.
RESERVATION_REFRESH_S = 0.1
# Slots are reserved for a service below its floor only if the mean run time in the pool
# exceeds this fraction of the service's deadline. Otherwise running requests release
# slots soon enough.
RESERVATION_FRACTION = 0.25
RUN_EWMA_WEIGHT = 0.05
# Run time assumed for a service until its first request has ended.
DEFAULT_RUN_S = 0.05


class ServiceQueue:
    """Waiting tickets and slots in use of one service.

    Tickets are kept in order of arrival, keyed by object identity, so that any of them
    can be removed in constant time.

    Parameters
    ----------
    document : ServiceDocument
        Latest document of the service.
    """

    def __init__(self, *, document):
        self.document = document
        self.tickets = collections.OrderedDict()
        self.size = 0
        self.in_use = 0
        self.virtual_time = 0.0
        self.entry_number = 0
        self.reserved = 0.0
        self.peak = 0.0
        self.peak_at = 0.0
        self.estimate = ServiceEstimate()

    @property
    def rank(self) -> int:
        """Rank of the urgency class."""
        return self.document.urgency.rank

    @property
    def weight(self) -> int:
        """Weight within the urgency class, at least 1."""
        return max(self.document.share.weight, 1)

    def append(self, ticket):
        """Append a ticket."""
        self.tickets[id(ticket)] = ticket
        self.size += ticket.size

    def remove(self, ticket):
        """Remove a waiting ticket."""
        del self.tickets[id(ticket)]
        self.size -= ticket.size

    def pop_oldest(self):
        """Remove and return the ticket that has waited longest."""
        _, ticket = self.tickets.popitem(last=False)
        self.size -= ticket.size
        return ticket

    def pop_newest(self):
        """Remove and return the ticket that arrived last."""
        _, ticket = self.tickets.popitem()
        self.size -= ticket.size
        return ticket

    def recent_peak(self, now) -> float:
        """Return the largest recent number of slots in use, decayed to `now`."""
        decayed = self.peak * math.exp((self.peak_at - now) / PEAK_DECAY_S)
        return max(decayed, self.in_use)

    def update_peak(self, now):
        """Update the recent peak after a request was started."""
        self.peak = self.recent_peak(now)
        self.peak_at = now


class ClassQueue:
    """Services of one urgency class with a backlog, in start-time fair queueing order.

    The virtual time of a service advances by the slot seconds it uses, divided by its
    weight. The heap may contain outdated entries: an entry is valid only if its number
    is the `entry_number` of its service. Number 0 means that a service has no entry.

    Parameters
    ----------
    numbers : iterator of int
        Source of entry numbers, shared by the classes of a pool.

    References
    ----------
    Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
    """

    def __init__(self, *, numbers):
        self.heap = []
        self.virtual_time = 0.0
        self.numbers = numbers

    def push(self, service):
        """Insert a service, or move it to its current virtual time."""
        service.entry_number = next(self.numbers)
        heapq.heappush(self.heap, (service.virtual_time, service.entry_number, service))

    def activate(self, service):
        """Insert a service that begins a backlog or joins the class.

        It gets no credit for the time in which it had no backlog in this class.
        """
        service.virtual_time = max(service.virtual_time, self.virtual_time)
        self.push(service)

    def pop(self):
        """Remove and return the service with the least virtual time, or None."""
        while self.heap:
            _, entry_number, service = heapq.heappop(self.heap)
            if entry_number == service.entry_number and service.tickets:
                service.entry_number = 0
                return service
        return None


class PoolQueues:
    """All services of one endpoint pool.

    Attributes
    ----------
    below_floor : dict of str to ServiceQueue
        Services that have a backlog and use fewer slots than they are guaranteed.
    reserved : float
        Slots kept free for services without a backlog that are below their floor.
    run_s : float
        Moving average of the run time of all requests, in seconds.
    """

    def __init__(self):
        self.capacity = 0
        self.in_use = 0
        self.waiting = 0
        self.services = {}
        numbers = itertools.count(1)
        self.classes = [ClassQueue(numbers=numbers) for _ in Urgency]
        self.below_floor = {}
        self.reserved = 0.0
        self.reserved_at = 0.0
        self.run_s = 0.0

    def service_queue(self, document) -> ServiceQueue:
        """Return the queue of a service, after making `document` its latest one."""
        service = self.services.get(document.service)
        if service is None:
            service = self.services[document.service] = ServiceQueue(document=document)
        elif service.document is not document:
            class_changed = service.rank != document.urgency.rank
            service.document = document
            if class_changed:
                service.virtual_time = 0.0
                if service.tickets:
                    self.classes[service.rank].activate(service)
        return service

    def floor_slots(self, service) -> float:
        """Return the guaranteed slots of a service, which may be fractional."""
        return service.document.share.guaranteed * self.capacity

    def refresh(self, service, *, now):
        """Update whether a service is below its floor, and its reserved slots."""
        floor = self.floor_slots(service)
        below = service.in_use < floor
        name = service.document.service
        if below and service.tickets:
            self.below_floor[name] = service
        else:
            self.below_floor.pop(name, None)
        reserved = 0.0
        deadline_s = service.document.request.deadline_s
        long_runs = self.run_s > deadline_s * RESERVATION_FRACTION
        if long_runs and below and not service.tickets:
            reserved = max(min(floor, service.recent_peak(now)) - service.in_use, 0.0)
        self.reserved += reserved - service.reserved
        service.reserved = reserved

    def refresh_all(self, *, now):
        """Update every service, after a change of capacity or to let peaks decay."""
        for service in self.services.values():
            self.refresh(service, now=now)
        self.reserved = sum(s.reserved for s in self.services.values())
        self.reserved_at = now

    def update_run_time(self, run_s):
        """Update the average run time of the requests of the pool."""
        self.run_s += RUN_EWMA_WEIGHT * (run_s - self.run_s)

    def furthest_below_floor(self, ledger):
        """Return the service with the lowest ratio of slots in use to floor, or None.

        Services whose quotas are used up are skipped.
        """
        allowed = [s for s in self.below_floor.values() if ledger.allows(s.document)]
        if not allowed:
            return None
        return min(allowed, key=lambda s: s.in_use / self.floor_slots(s))

    def has_spare(self, *, now) -> bool:
        """Return whether a slot is free beyond those reserved for other services."""
        if self.capacity - self.in_use - math.floor(self.reserved) >= 1:
            return True
        if now - self.reserved_at > RESERVATION_REFRESH_S:
            self.refresh_all(now=now)
        return self.capacity - self.in_use - math.floor(self.reserved) >= 1

    def charge(self, service):
        """Advance the virtual time of a service that starts a request.

        The actual run time is not known yet; the expected one is charged.
        """
        run_s = service.estimate.run_s or DEFAULT_RUN_S
        service.virtual_time += run_s / service.weight
        if service.tickets:
            self.classes[service.rank].push(service)

    def correct_charge(self, service, expected_s, actual_s):
        """Add the difference of actual and expected run time to the virtual time.

        `expected_s` is the estimate at the end of the request, which may differ from
        the run time that `charge` added at its start.
        """
        service.virtual_time += (actual_s - expected_s) / service.weight
        if service.tickets and service.entry_number:
            self.classes[service.rank].push(service)
