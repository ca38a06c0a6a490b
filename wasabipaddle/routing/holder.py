"""Slot grants held by an entry process, and selection of an endpoint."""

import attrs

from wasabipaddle.messages import Grant, GrantRequest
from wasabipaddle.routing.breaker import BreakerState, CircuitBreaker

__all__ = ["GrantHolder", "HeldEndpoint", "Slot"]

WITHDRAWN_RETENTION_S = 60.0
REFUSAL_PAUSE_S = 0.1
CAPACITY_CACHE_S = 0.02
# Largest fraction of the endpoints of a pool that open circuit breakers may exclude.
# Above it, failures are attributed to the requests rather than to single endpoints, and
# the breakers are ignored.
MAX_OPEN_FRACTION = 0.5


@attrs.define(kw_only=True, eq=False)
class HeldEndpoint:
    """Grant for one endpoint and its use by this process.

    Parameters
    ----------
    expires : float
        Time at which the grant expires.
    expired_limit : int
        Largest number of slots in use after the grant has expired.
    paused_until : float
        Time until which no slot is taken, after the endpoint refused a request.
    withdrawn_at : float or None
        Time since which the grants of the shard no longer name the endpoint.
    """

    grant: Grant
    shard: str
    epoch: int
    expires: float
    breaker: CircuitBreaker
    in_use: int = 0
    expired_limit: int = 0
    draining: bool = False
    paused_until: float = 0.0
    withdrawn_at: float | None = None

    def usable(self, now) -> int:
        """Return the number of slots that may be in use now."""
        if self.draining or self.withdrawn_at is not None:
            return 0
        return self.grant.slots if now < self.expires else self.expired_limit

    def free(self, now) -> int:
        """Return the number of slots for new requests, limited by the breaker."""
        if now < self.paused_until:
            return 0
        return min(self.usable(now), self.breaker.limit(now=now)) - self.in_use

    def renew(self, grant, epoch, expires):
        """Replace the grant, its epoch and its expiry time."""
        self.grant = grant
        self.epoch = epoch
        self.expires = expires
        self.expired_limit = (grant.slots + 1) // 2
        self.withdrawn_at = None


@attrs.define(kw_only=True, eq=False)
class Slot:
    """One slot of an endpoint, occupied by one attempt of a request."""

    held: HeldEndpoint
    shard: str
    epoch: int

    @property
    def endpoint(self) -> str:
        """Name of the endpoint."""
        return self.held.grant.endpoint


@attrs.frozen(kw_only=True)
class _Capacity:
    """Cached number of slots of a pool."""

    slots: int
    ignore_breakers: bool
    valid_until: float


@attrs.define(kw_only=True)
class _ShardState:
    """State of the grant requests to the leader of one shard.

    Parameters
    ----------
    sequence, sent_at : int, float
        Number and sending time of the latest request.
    applied, applied_at : int, float
        Number and sending time of the request whose reply was applied last.
    epoch : int
        Highest epoch of a reply applied so far.
    resync : bool
        Whether the next request reports the grants held; True at first and after a
        partial reply.
    """

    sequence: int = 0
    applied: int = 0
    sent_at: float = 0.0
    applied_at: float = float("-inf")
    epoch: int = 0
    resync: bool = True


class GrantHolder:
    """Slots that this entry process holds in all shards.

    A grant is used in full until it expires. After that, while no leader answers, half
    of its slots, rounded up, stay usable. Each refusal by the endpoint lowers this
    number by one, down to one slot. This is safe because an endpoint enforces its own
    limit and has not run a request that it refused.

    Parameters
    ----------
    sender : str
        Name of the process.
    incarnation : int
        Number of this start of the process; later starts have higher numbers.
    random : random.Random
        Source of the choice between endpoints.
    """

    def __init__(self, *, sender, incarnation, random):
        self.sender = sender
        self.incarnation = incarnation
        self.random = random
        self.shards = {}
        self.endpoints = {}
        self.endpoints_by_pool = {}
        self.capacity_cache = {}

    def request(self, shard, demand, *, now, draining=False) -> GrantRequest:
        """Return the next grant request to the leader of a shard.

        Parameters
        ----------
        demand : sequence of PoolDemand
            Running and queued requests of each pool.
        draining : bool
            Whether slots are needed only for requests that are already accepted.
        """
        state = self.shards.setdefault(shard, _ShardState())
        state.sequence += 1
        state.sent_at = now
        in_shard = [h for h in self.endpoints.values() if h.shard == shard]
        held = ()
        if state.resync:
            held = tuple(
                attrs.evolve(h.grant, life_s=h.expires - now)
                for h in in_shard
                if h.expires > now and h.withdrawn_at is None
            )
        return GrantRequest(
            sender=self.sender,
            incarnation=self.incarnation,
            shard=shard,
            demand=tuple(demand),
            in_use=tuple(_in_use(h, now) for h in in_shard if h.in_use > 0),
            sequence=state.sequence,
            applied=state.applied,
            held=held,
            epoch=state.epoch,
            draining=draining,
        )

    def apply(self, reply, *, now) -> bool:
        """Apply a reply; return False if it is outdated or of an earlier epoch."""
        state = self.shards.get(reply.shard)
        if state is None or reply.sequence != state.sequence:
            return False
        if reply.epoch < state.epoch:
            return False
        state.epoch = reply.epoch
        state.resync = reply.partial
        expires = state.sent_at + reply.life_s
        if reply.unchanged:
            self._renew_grants(reply, expires)
        else:
            self._replace_grants(reply, expires, now)
        self.drain(reply.leaving)
        state.applied = reply.sequence
        state.applied_at = state.sent_at
        self._rebuild_index()
        return True

    def drain(self, endpoints):
        """Stop taking slots of the named endpoints, which are leaving."""
        for name in endpoints:
            if name in self.endpoints:
                self.endpoints[name].draining = True
        self.capacity_cache.clear()

    def capacity(self, pool, *, now) -> int:
        """Return the number of slots of a pool that are usable or in use.

        The number may be `CAPACITY_CACHE_S` seconds old. `take_slot` reads the
        current state of each endpoint.
        """
        cached = self.capacity_cache.get(pool)
        if cached is None or now >= cached.valid_until:
            cached = self._compute_capacity(pool, now)
            self.capacity_cache[pool] = cached
        return cached.slots

    def pools(self) -> set[str]:
        """Return the pools of the known endpoints."""
        return set(self.endpoints_by_pool)

    def take_slot(self, pool, *, now, exclude=()) -> Slot | None:
        """Take a slot of the less loaded of two random endpoints.

        Parameters
        ----------
        exclude : collection of str
            Endpoints to use only if no other has a free slot.
        """
        endpoints = self.endpoints_by_pool.get(pool)
        if not endpoints:
            return None
        self.capacity(pool, now=now)
        ignore_breakers = self.capacity_cache[pool].ignore_breakers
        pair = self.random.choices(endpoints, k=2)
        if exclude or not all(_has_slot(h, now, ignore_breakers) for h in pair):
            free = [h for h in endpoints if _has_slot(h, now, ignore_breakers)]
            others = [h for h in free if h.grant.endpoint not in exclude]
            pair = others or free
            if not pair:
                return None
            pair = self.random.choices(pair, k=2)
        held = min(pair, key=lambda h: h.in_use / max(h.usable(now), 1))
        held.in_use += 1
        return Slot(held=held, shard=held.shard, epoch=held.epoch)

    def release(self, slot):
        """Mark a slot as free."""
        slot.held.in_use -= 1

    def record_success(self, slot, *, now):
        """Record that the endpoint answered."""
        breaker = slot.held.breaker
        if breaker.state is not BreakerState.CLOSED:
            self.capacity_cache.clear()
        breaker.record_success(now=now)

    def record_failure(self, slot, *, now):
        """Record that the endpoint failed, stalled or could not be reached."""
        slot.held.breaker.record_failure(now=now)
        self.capacity_cache.clear()

    def record_no_capacity(self, slot, *, now):
        """Record that the endpoint had no free slot, and avoid it for a short time."""
        held = slot.held
        held.paused_until = now + REFUSAL_PAUSE_S * self.random.uniform(0.5, 1.5)
        if now >= held.expires:
            held.expired_limit = max(held.expired_limit - 1, 1)
        self.capacity_cache.clear()

    def forget(self, *, now) -> list[str]:
        """Remove unused endpoints withdrawn more than `WITHDRAWN_RETENTION_S` ago.

        Returns
        -------
        list of str
            Names of the removed endpoints.
        """
        names = [
            name
            for name, h in self.endpoints.items()
            if h.withdrawn_at is not None
            and not h.in_use
            and now - h.withdrawn_at > WITHDRAWN_RETENTION_S
        ]
        for name in names:
            del self.endpoints[name]
        if names:
            self._rebuild_index()
        return names

    def _compute_capacity(self, pool, now):
        endpoints = self.endpoints_by_pool.get(pool, ())
        usable = [h for h in endpoints if h.usable(now) > 0]
        open_breakers = sum(h.breaker.limit(now=now) == 0 for h in usable)
        if open_breakers > len(usable) * MAX_OPEN_FRACTION:
            slots = sum(max(h.usable(now), h.in_use) for h in endpoints)
        else:
            slots = sum(h.in_use + max(h.free(now), 0) for h in endpoints)
        return _Capacity(
            slots=slots,
            ignore_breakers=open_breakers > len(usable) * MAX_OPEN_FRACTION,
            valid_until=now + CAPACITY_CACHE_S,
        )

    def _rebuild_index(self):
        """Rebuild the index by pool and clear the cached capacities."""
        self.capacity_cache.clear()
        self.endpoints_by_pool = {}
        for held in self.endpoints.values():
            self.endpoints_by_pool.setdefault(held.grant.pool, []).append(held)

    def _renew_grants(self, reply, expires):
        for held in self.endpoints.values():
            if held.shard == reply.shard and held.withdrawn_at is None:
                held.renew(held.grant, reply.epoch, expires)

    def _replace_grants(self, reply, expires, now):
        granted = {g.endpoint: g for g in reply.grants}
        for name, held in self.endpoints.items():
            if held.shard != reply.shard:
                continue
            held.epoch = reply.epoch
            if name not in granted and not reply.partial and held.withdrawn_at is None:
                held.withdrawn_at = now
        for grant in granted.values():
            self._apply_grant(grant, reply, expires, now)

    def _apply_grant(self, grant, reply, expires, now):
        held = self.endpoints.get(grant.endpoint)
        if held is None:
            self.endpoints[grant.endpoint] = HeldEndpoint(
                grant=grant,
                shard=reply.shard,
                epoch=reply.epoch,
                expires=expires,
                expired_limit=(grant.slots + 1) // 2,
                breaker=CircuitBreaker(random=self.random),
            )
            return
        present = held.usable(now)
        if reply.partial and present > grant.slots:
            return
        if held.withdrawn_at is not None:
            held.draining = False
        held.renew(grant, reply.epoch, expires)

    def load(self, now) -> float:
        """Return the ratio of slots in use to usable slots, 0 if none is usable."""
        held = self.endpoints.values()
        usable = sum(h.usable(now) for h in held)
        return sum(h.in_use for h in held) / usable if usable else 0.0


def _in_use(held, now):
    return attrs.evolve(held.grant, slots=held.in_use, life_s=held.expires - now)


def _has_slot(held, now, ignore_breakers):
    if ignore_breakers:
        return held.usable(now) > held.in_use
    return held.free(now) > 0
