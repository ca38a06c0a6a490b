"""Division of slots between processes and between endpoints."""

import heapq

__all__ = ["divide_slots", "spread_slots"]


def divide_slots(total, demands):
    """Divide slots between processes by max-min fairness.

    Every process counts as demanding at least one slot. Slots beyond the total demand
    are divided evenly, so that a burst can start at once.

    Parameters
    ----------
    total : int
        Slots to divide.
    demands : dict of str to int
        Number of slots that each process can use.

    Returns
    -------
    dict of str to int
        Slots of each process; the sum is at most `total`.
    """
    wanted = {name: max(demand, 1) for name, demand in demands.items()}
    shares = {}
    left = total
    pending = sorted(wanted, key=lambda name: (wanted[name], name))
    for i, name in enumerate(pending):
        part = left // (len(pending) - i)
        shares[name] = min(wanted[name], part)
        left -= shares[name]
    if left > 0 and shares:
        part, rest = divmod(left, len(shares))
        for i, name in enumerate(sorted(shares)):
            shares[name] += part + (i < rest)
    return shares


def spread_slots(total, available, current, in_use):
    """Distribute the slots of one process over endpoints.

    Slots that the process holds are kept where possible. Surplus slots are given up one
    by one at the endpoint with the most idle slots of the process. Missing slots are
    added one by one at the endpoint with the most available slots that are not yet
    assigned.

    Parameters
    ----------
    total : int
        Number of slots of the process.
    available : dict of str to int
        Slots of each endpoint that no other process holds.
    current : dict of str to int
        Slots of each endpoint that the process holds.
    in_use : dict of str to int
        Slots of each endpoint that requests of the process occupy.

    Returns
    -------
    dict of str to int
        Slots at each endpoint, without zeros; the sum is at most `total`.
    """
    slots = {e: min(current.get(e, 0), free) for e, free in available.items()}
    excess = sum(slots.values()) - total
    if excess > 0:
        _shrink(slots, in_use, excess)
    elif excess < 0:
        _grow(slots, available, -excess)
    return {e: n for e, n in slots.items() if n > 0}


def _shrink(slots, in_use, excess):
    heap = [(in_use.get(e, 0) - n, -n, e) for e, n in slots.items() if n > 0]
    heapq.heapify(heap)
    for _ in range(excess):
        negative_idle, negative_held, endpoint = heapq.heappop(heap)
        slots[endpoint] -= 1
        if slots[endpoint] > 0:
            heapq.heappush(heap, (negative_idle + 1, negative_held + 1, endpoint))


def _grow(slots, available, wanted):
    heap = [(n - available[e], n, e) for e, n in slots.items() if n < available[e]]
    heapq.heapify(heap)
    for _ in range(wanted):
        if not heap:
            return
        negative_room, held, endpoint = heapq.heappop(heap)
        slots[endpoint] += 1
        if slots[endpoint] < available[endpoint]:
            heapq.heappush(heap, (negative_room + 1, held + 1, endpoint))
