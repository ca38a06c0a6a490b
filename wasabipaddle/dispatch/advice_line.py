"""Which steps may ask the eligibility service while its processes are busy."""

from wasabipaddle.dispatch.claims import waiting_since_s

__all__ = ["AdviceLine"]

# Time without a request after which waiting work gets one before work that is ahead of
# it in the order.
FLOOR_WAIT_S = 1.0


class AdviceLine:
    """Shares out the non-urgent requests that can be made at a time.

    They go to steps in their order. Every second one goes to the work that has waited
    longest without a request, if that is more than `FLOOR_WAIT_S`, so that none stands
    still behind a burst of other work. The steps of a kind of work count together here,
    but a step whose tasks last counts by itself: its tasks have to run again soon after
    each failure.

    Parameters
    ----------
    order : WorkOrder
        Knows the kinds of work.

    Attributes
    ----------
    requested_s : dict of tuple to float
        Time of the latest request of each kind of work, or lasting step, that waits.
    floor_next : bool
        Whether the next request goes to work that has waited without one.
    """

    def __init__(self, *, order):
        self.order = order
        self.requested_s = {}
        self.floor_next = False

    def share_out(self, steps, make_request, now, *, slots):
        """Return the requests to make now.

        Parameters
        ----------
        steps : list of Step
            Steps that may need an answer, in their order.
        make_request : callable
            Called with a step; returns its request, or None if it needs no answer now.
        slots : float
            Largest number of requests, infinite if there is no limit.
        """
        if slots < 1:
            return []
        groups = {}
        for step in steps:
            groups.setdefault(self._group_key(step), []).append(step)
        self.requested_s = {k: t for k, t in self.requested_s.items() if k in groups}
        untried = {step.key for step in steps}
        in_order = _requests(steps, untried, make_request)
        floor = iter(())
        if len(steps) > slots:
            floor = self._floor_requests(groups, untried, make_request, now)
        requests = []
        while len(requests) < slots:
            request = next(floor, None) if self.floor_next else None
            self.floor_next = request is None
            if request is None:
                request = next(in_order, None)
            if request is None:
                break
            self.requested_s[self._group_key(request.step)] = now
            requests.append(request)
        return requests

    def _group_key(self, step):
        if step.spec.lasting:
            return step.key
        return (step.job.queue.pool, self.order.kind(step))

    def _floor_requests(self, groups, untried, make_request, now):
        """Yield a request of each group that has waited too long without one.

        The group that has waited longest comes first.
        """
        latest_s = now - FLOOR_WAIT_S
        since_s = {}
        for key, group in groups.items():
            requested_s = self.requested_s.get(key, 0.0)
            waiting = [step for step in group if step.pending]
            if waiting and requested_s <= latest_s:
                since_s[key] = max(min(map(waiting_since_s, waiting)), requested_s)
        for key in sorted(since_s, key=since_s.get):
            if since_s[key] > latest_s:
                return
            request = next(_requests(groups[key], untried, make_request), None)
            if request is not None:
                yield request


def _requests(steps, untried, make_request):
    """Yield the requests of those steps that have not had their turn yet.

    Parameters
    ----------
    untried : set of tuple
        Keys of these steps, which are removed from it.
    """
    for step in steps:
        if step.key in untried:
            untried.remove(step.key)
            request = make_request(step)
            if request is not None:
                yield request
