"""Allocation of slot grants by the leader of a shard."""

import attrs
from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.messages import Grant, GrantReply
from wasabipaddle.routing.allocation import divide_slots, spread_slots

__all__ = ["EndpointSlots", "GrantTable"]

# Largest relative difference in speed between the clocks of a holder and the leader.
CLOCK_DRIFT = 0.01
# While all demand is met, a holder keeps its slots if their number differs from its
# fair target by at most this fraction of the target, or by one slot if that is more.
HYSTERESIS = 0.125


@attrs.frozen(kw_only=True)
class EndpointSlots:
    """One endpoint of the shard and its limits."""

    endpoint: str
    pool: str
    host: str
    port: int
    slots: int
    connections: int


@attrs.define(kw_only=True)
class _IssuedReply:
    """Slots of one reply, counted until the reply has expired or been replaced.

    Parameters
    ----------
    expires : float
        Time of the leader at which the reply has expired at any holder.
    partial : bool
        Whether the holder may have further grants of an earlier leader.
    """

    sequence: int
    expires: float
    slots: dict
    partial: bool


@attrs.define(kw_only=True)
class _Holder:
    """State of one incarnation of an entry process, as known to the leader."""

    sequence: int = 0
    last_request_at: float = 0.0
    demand: dict = attrs.field(factory=dict)
    in_use: dict = attrs.field(factory=dict)
    draining: bool = False
    issued: list = attrs.field(factory=list)
    confirmed: _IssuedReply | None = None

    def prune(self, now, request_life_s):
        """Drop expired replies, and demand and use from a request that is too old."""
        self.issued = [i for i in self.issued if i.expires > now]
        if self.confirmed is not None and self.confirmed.expires <= now:
            self.confirmed = None
        if now - self.last_request_at > request_life_s:
            self.in_use = {}
            self.demand = {}

    def acknowledge(self, applied):
        """Set the confirmed reply to number `applied` and drop the earlier replies.

        If that reply is unknown or has expired, none is confirmed or dropped.
        """
        self.confirmed = None
        for issued in self.issued:
            if issued.sequence == applied:
                self.confirmed = issued
        if self.confirmed is not None:
            self.issued = [i for i in self.issued if i.sequence >= applied]

    def outstanding(self, endpoint) -> int:
        """Return the most slots of an endpoint that the holder may be using."""
        granted = max((i.slots.get(endpoint, 0) for i in self.issued), default=0)
        return max(granted, self.in_use.get(endpoint, 0))


class GrantTable:
    """Grants the slots of the endpoints of one shard to entry processes.

    A holder gets no more slots of an endpoint than remain after subtracting those that
    other holders may have been granted or have reported as in use. Expired grants do
    not count, although holders go on using half of their slots while no leader answers;
    the endpoint enforces its own limit.

    A reply counts until it expires, or until the holder confirms that a later reply has
    replaced it. The holder measures the life of a reply from the time at which it sent
    the request, which is before the leader replied. The leader counts the reply for
    `grant_s / (1 - CLOCK_DRIFT)`, since the holder's clock may be slow.

    Parameters
    ----------
    shard : str
        Shard of the leader.
    epoch : int
        Epoch of this leadership.
    grant_s : float
        Life of a grant in seconds.
    now : float
        Start of the leadership. If `epoch` is greater than 1, grants of an earlier
        leader may remain valid for `grant_s` after this time, by a holder's clock.
    members : collection of str
        Every process that an earlier leader may have granted slots to. Once all of
        them have reported their grants, the leader no longer waits for earlier grants
        to expire. If empty, it waits until they must have expired.
    """

    def __init__(self, *, shard, epoch, grant_s, now, members=()):
        self.shard = shard
        self.epoch = epoch
        self.grant_s = grant_s
        self.grant_s_on_leader_clock = grant_s / (1 - CLOCK_DRIFT)
        self.recovery_ends_at = now + self.grant_s_on_leader_clock if epoch > 1 else now
        self.unreported = set(members)
        self.members_known = bool(members)
        self.endpoints = {}
        self.leaving = set()
        self.holders = {}

    def set_endpoints(self, endpoints):
        """Replace the endpoints of the shard."""
        self.endpoints = {e.endpoint: e for e in endpoints}
        self.leaving &= set(self.endpoints)

    def mark_leaving(self, endpoint):
        """Stop granting slots of an endpoint."""
        self.leaving.add(endpoint)

    def holder_names(self) -> list[str]:
        """Return the names of the processes that may hold grants."""
        return sorted({sender for sender, _ in self.holders})

    def outstanding(self, endpoint, *, now) -> int:
        """Return the number of slots of an endpoint that may be granted or in use."""
        self._prune(now)
        return sum(h.outstanding(endpoint) for h in self.holders.values())

    def request(self, message, *, now) -> Result[GrantReply, Failure]:
        """Answer a request for slots.

        Returns
        -------
        result.Result
            The reply, or an `Err` of kind `conflict` for a request that is not newer
            than the last one answered, or of an earlier incarnation of its sender.
        """
        self._prune(now)
        latest = max((i for s, i in self.holders if s == message.sender), default=0)
        if message.incarnation < latest:
            return _conflict("a later incarnation of the sender has requested grants")
        key = (message.sender, message.incarnation)
        holder = self.holders.setdefault(key, _Holder())
        if message.sequence <= holder.sequence:
            return _conflict("this or a later request of the sender has been answered")
        self._record_request(holder, message, now)
        slots, partial = self._allocate(holder, message, now)
        issued = _IssuedReply(
            sequence=message.sequence,
            expires=now + self.grant_s_on_leader_clock,
            slots=slots,
            partial=partial,
        )
        confirmed = holder.confirmed
        holder.issued.append(issued)
        # After a partial reply the holder may still have grants of an earlier leader,
        # which `unchanged` would renew.
        unchanged = (
            confirmed is not None
            and not (partial or confirmed.partial)
            and confirmed.slots == slots
        )
        return Ok(
            GrantReply(
                shard=self.shard,
                epoch=self.epoch,
                grants=() if unchanged else self._grants(slots),
                sequence=message.sequence,
                unchanged=unchanged,
                partial=partial,
                life_s=self.grant_s,
                leaving=tuple(sorted(self.leaving)),
            )
        )

    def _prune(self, now):
        for key, holder in list(self.holders.items()):
            holder.prune(now, self.grant_s_on_leader_clock)
            active = holder.issued or holder.in_use or holder.demand
            if (
                not active
                and now - holder.last_request_at > 2 * self.grant_s_on_leader_clock
            ):
                del self.holders[key]

    def _record_request(self, holder, message, now):
        holder.sequence = message.sequence
        holder.last_request_at = now
        holder.draining = message.draining
        holder.demand = {d.pool: d.in_progress + d.queued for d in message.demand}
        holder.in_use = {g.endpoint: g.slots for g in message.in_use}
        holder.acknowledge(message.applied)
        if now < self.recovery_ends_at:
            self._record_earlier_grants(holder, message, now)

    def _record_earlier_grants(self, holder, message, now):
        """Count the grants that a holder has from an earlier leader.

        The grants in the request are complete if the holder knows of this epoch, since
        it then rejects later replies of an earlier leader.
        """
        if message.held:
            slots = {g.endpoint: g.slots for g in message.held}
            life_s = (
                max(g.life_s for g in message.held)
                * self.grant_s_on_leader_clock
                / self.grant_s
            )
            holder.issued.append(
                _IssuedReply(
                    sequence=message.sequence,
                    expires=now + life_s,
                    slots=slots,
                    partial=True,
                )
            )
        if message.epoch == self.epoch:
            self.unreported.discard(message.sender)
        if self.members_known and not self.unreported:
            self.recovery_ends_at = now

    def _allocate(self, holder, message, now):
        """Return slots by endpoint, and whether the reply is a partial `GrantReply`.

        While grants of an earlier leader may be valid, a holder only gets slots that
        it has reported as held or in use.
        """
        available = {
            name: max(e.slots - self._held_by_others(holder, name), 0)
            for name, e in self.endpoints.items()
            if name not in self.leaving
        }
        if now < self.recovery_ends_at:
            return self._reported_slots(holder, message, available), True
        slots = {}
        for pool in {e.pool for e in self.endpoints.values()}:
            part = {e: n for e, n in available.items() if self._pool(e) == pool}
            slots.update(self._pool_slots(holder, pool, part))
        return slots, False

    def _reported_slots(self, holder, message, available):
        held = {g.endpoint: g.slots for g in message.held if g.life_s > 0}
        wanted = {e: max(held.get(e, 0), holder.in_use.get(e, 0)) for e in available}
        slots = {e: min(n, available[e]) for e, n in wanted.items()}
        return {e: n for e, n in slots.items() if n > 0}

    def _pool_slots(self, holder, pool, available):
        total = sum(self.endpoints[e].slots for e in available)
        demands = {
            key: h.demand.get(pool, 0)
            for key, h in self.holders.items()
            if h.demand and not h.draining
        }
        if holder.draining:
            wanted = min(holder.demand.get(pool, 0), total)
            return spread_slots(wanted, available, {}, holder.in_use)
        key = next(k for k, h in self.holders.items() if h is holder)
        demands.setdefault(key, 0)
        target = divide_slots(total, demands)[key]
        confirmed = holder.confirmed.slots if holder.confirmed else {}
        current = {e: n for e, n in confirmed.items() if e in available}
        held = sum(min(n, available[e]) for e, n in current.items())
        if sum(demands.values()) <= total and demands[key] <= held:
            margin = max(int(target * HYSTERESIS), 1)
            if abs(held - target) <= margin:
                target = held
        return spread_slots(target, available, current, holder.in_use)

    def _held_by_others(self, holder, endpoint):
        others = (h for h in self.holders.values() if h is not holder)
        return sum(h.outstanding(endpoint) for h in others)

    def _pool(self, endpoint):
        return self.endpoints[endpoint].pool

    def _grants(self, slots):
        return tuple(self._grant(self.endpoints[e], n) for e, n in slots.items())

    def _grant(self, endpoint, slots):
        return Grant(
            endpoint=endpoint.endpoint,
            pool=endpoint.pool,
            host=endpoint.host,
            port=endpoint.port,
            slots=slots,
            connections=max(endpoint.connections * slots // endpoint.slots, 1),
            life_s=self.grant_s,
        )


def _conflict(detail):
    return Err(Failure(kind=ErrorKind.CONFLICT, detail=detail))
