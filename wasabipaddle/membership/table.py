"""Membership table: the view that one process has of the members of the cell."""

import math

import attrs
import xxhash

from wasabipaddle.membership.claims import ClaimTable, ShardClaim
from wasabipaddle.membership.events import MemberDown, MemberUp
from wasabipaddle.membership.ring import Ring
from wasabipaddle.messages import (
    DataCentreSummary,
    Heartbeat,
    LedShard,
    MemberView,
)

__all__ = ["LocalState", "Member", "MemberTable"]

FAN_OUT = 1  # heartbeats sent per period
SEEN_LIMIT = 10  # members of the local data centre per heartbeat
REMOTE_SEEN_LIMIT = 3  # members of other data centres per heartbeat
CLAIM_LIMIT = 2  # shard claims per heartbeat
SUMMARY_LIMIT = 3  # members per summary
SUMMARY_ROUNDS = 3  # lost summary rounds before a remote member is suspected
# Size of the local data centre above which the suspicion time grows in proportion.
SUSPECT_TIME_MEMBERS = 4
NEVER = -math.inf


@attrs.define(kw_only=True)
class LocalState:
    """State of this process that it sends in every heartbeat.

    Parameters
    ----------
    revision : int
        Highest document revision that this process has applied.
    led : dict of str to int
        Epochs of the shards that this process leads.
    """

    revision: int = 0
    led: dict = attrs.field(factory=dict)
    draining: bool = False
    load: float = 0.0


@attrs.define(kw_only=True)
class Member:
    """One other process of the cell.

    Parameters
    ----------
    incarnation : int
        Highest known incarnation, 0 if none is known.
    heard_at : float
        Time of the last sign of life, received directly or through other members.
    up : bool
        Whether the last event published for the member was `MemberUp`.
    """

    name: str
    data_centre: str
    incarnation: int = 0
    heard_at: float = NEVER
    revision: int = 0
    led: tuple[LedShard, ...] = ()
    draining: bool = False
    load: float = 0.0
    up: bool = False


class MemberTable:
    """Members by name, with the last known state of each.

    A process sends heartbeats to `FAN_OUT` members per period, and each of them
    replies with its own. A heartbeat carries a bounded sample of shard claims and of
    the times since other members were heard from. Information about a member thus
    reaches all members of its data centre in a logarithmic number of periods, while
    the bytes per process do not depend on the number of members.

    Parameters
    ----------
    process : str
        Name of this process.
    incarnation : int
        Incarnation of this process.
    peers : sequence of Peer
        All entry processes of the cell, this one included.
    settings : MembershipSettings
        Heartbeat and summary periods, and the suspicion time.

    References
    ----------
    van Renesse et al., "A Gossip-Style Failure Detection Service", 1998.
    """

    def __init__(self, *, process, incarnation, peers, settings):
        self.process = process
        self.incarnation = incarnation
        self.settings = settings
        self.local = LocalState()
        own = next(p for p in peers if p.name == process)
        self.data_centre = own.data_centre
        self.members = {
            p.name: Member(name=p.name, data_centre=p.data_centre)
            for p in peers
            if p.name != process
        }
        names = {d: [] for d in sorted({p.data_centre for p in peers})}
        for peer in sorted(peers, key=lambda p: p.name):
            names[peer.data_centre].append(peer.name)
        self.names = names
        self.claim_table = ClaimTable()
        self.ring = Ring(names=names[self.data_centre], own=process)
        self.data_centre_ring = Ring(names=names, own=self.data_centre)
        self.heartbeat_count = 0

    # Input

    def receive_heartbeat(self, heartbeat, now):
        """Process a heartbeat: the state of its sender and of members known to it."""
        member = self.members.get(heartbeat.sender)
        if member is None or heartbeat.incarnation < member.incarnation:
            return
        self._refresh(member, heartbeat.incarnation, now)
        member.revision = heartbeat.revision
        member.draining = heartbeat.draining
        member.load = heartbeat.load
        self.claim_table.update_led_shards(member, heartbeat.led)
        for name, (incarnation, age_s) in heartbeat.seen.items():
            self._refresh_indirectly(name, incarnation, now - max(age_s, 0.0))
        for shard, (epoch, leader) in heartbeat.claims.items():
            self.claim_table.add(ShardClaim(shard=shard, epoch=epoch, leader=leader))
        self.claim_table.record_claims(heartbeat)

    def receive_reply(self, reply, sent, now):
        """Process the reply to the heartbeat `sent`."""
        self.receive_heartbeat(reply, now)
        self.claim_table.record_reply(reply, sent)

    def receive_summary(self, summary, now):
        """Process the summary of another data centre from its delegate."""
        sender = self.members.get(summary.sender)
        if sender is None or summary.incarnation < sender.incarnation:
            return
        for view in summary.members:
            member = self.members.get(view.name)
            if member is None or view.incarnation < member.incarnation:
                continue
            if view.live:
                self._refresh(member, view.incarnation, now)
            member.revision = view.revision
            member.draining = view.draining
            member.load = view.load
            self.claim_table.update_led_shards(member, view.led)

    def _refresh(self, member, incarnation, heard_at):
        if incarnation > member.incarnation:
            member.incarnation = incarnation
            self.claim_table.update_led_shards(member, ())
            member.draining = False
        member.heard_at = max(member.heard_at, heard_at)

    def _refresh_indirectly(self, name, incarnation, heard_at):
        member = self.members.get(name)
        if member is not None and incarnation >= member.incarnation:
            self._refresh(member, incarnation, heard_at)

    # Queries

    def age(self, name, now, *, incarnation=None) -> float:
        """Return the seconds since a member was heard from, infinity if it never was.

        Parameters
        ----------
        incarnation : int or None
            Incarnation that must be the latest known one, else the result is
            infinity; None for any incarnation.
        """
        if name == self.process:
            same = incarnation is None or incarnation == self.incarnation
            return 0.0 if same else math.inf
        member = self.members.get(name)
        if member is None:
            return math.inf
        if incarnation is not None and member.incarnation != incarnation:
            return math.inf
        return now - member.heard_at

    def is_live(self, name, now) -> bool:
        """Return whether a member was heard from within the suspicion time."""
        if name == self.process:
            return True
        member = self.members.get(name)
        return member is not None and now - member.heard_at <= self._suspicion_time_s(
            member
        )

    def live(self, now, data_centre=None) -> list[str]:
        """Return the live members by data centre and name, this process included."""
        centres = self.names if data_centre is None else (data_centre,)
        return [
            n for c in centres for n in self.names.get(c, ()) if self.is_live(n, now)
        ]

    def available(self, now, data_centre) -> list[str]:
        """Return the live members of a data centre that are not draining."""
        return [n for n in self.live(now, data_centre) if not self.is_draining(n)]

    def is_draining(self, name) -> bool:
        """Return whether a member has announced that it is shutting down."""
        if name == self.process:
            return self.local.draining
        return self.members[name].draining

    def delegate(self, data_centre, now) -> str | None:
        """Return the delegate of a data centre: its first available member by name."""
        return next(iter(self.available(now, data_centre)), None)

    def candidates(self, shard, data_centre, now) -> list[str]:
        """Return the available members in order of preference as leader of a shard.

        Members that lead fewer shards come first. Ties are broken by a hash, so that
        their order differs between shards.
        """

        def rank(name):
            led = self.local.led if name == self.process else self.members[name].led
            return len(led), xxhash.xxh64_intdigest(f"{shard}/{name}".encode())

        return sorted(self.available(now, data_centre), key=rank)

    def leader_of(self, shard, now) -> str | None:
        """Return the member that claims the highest epoch of a shard, if it is live."""
        epoch = self.local.led.get(shard, 0)
        claim = self.claim_table.claims.get(shard)
        if claim is None or claim.epoch < epoch:
            return self.process if epoch else None
        return claim.leader if self.is_live(claim.leader, now) else None

    def has_stopped(self, name, incarnation, shard, epoch) -> bool:
        """Return whether a process is proven not to lead a shard under a lower epoch.

        The proof is a later incarnation of that process, or its acknowledgement of
        `epoch`.
        """
        if name == self.process:
            return incarnation <= self.incarnation
        member = self.members.get(name)
        if member is not None and member.incarnation > incarnation:
            return True
        return self.claim_table.has_acknowledged(name, incarnation, shard, epoch)

    def take_transitions(self, now) -> list:
        """Return a `MemberUp` or `MemberDown` event per change since the last call."""
        events = []
        for member in self.members.values():
            up = self.is_live(member.name, now)
            if up == member.up:
                continue
            member.up = up
            event = MemberUp if up else MemberDown
            events.append(
                event(
                    name=member.name,
                    data_centre=member.data_centre,
                    incarnation=member.incarnation,
                )
            )
        return events

    def _suspicion_time_s(self, member):
        local_s = self.settings.suspect_s * max(
            1.0, len(self.names[self.data_centre]) / SUSPECT_TIME_MEMBERS
        )
        if member.data_centre == self.data_centre:
            return local_s
        round_s = self.settings.summary_s * self.data_centre_ring.offset_count
        return local_s + SUMMARY_ROUNDS * round_s

    # Output

    def next_targets(self) -> list[str]:
        """Return the members to which a heartbeat is sent in this period."""
        count = min(FAN_OUT, self.ring.offset_count)
        return [self.ring.next() for _ in range(count)]

    def next_summary_target(self) -> str | None:
        """Return the data centre to which a summary is sent in this period."""
        return self.data_centre_ring.next()

    def probe_target(self, data_centre) -> str:
        """Return the member to contact in a data centre without a known live member."""
        names = self.names[data_centre]
        return names[self.data_centre_ring.turn % len(names)]

    def heartbeat(self, hlc, now, *, store_pause_s=0.0) -> Heartbeat:
        """Return the heartbeat of this process."""
        self.heartbeat_count += 1
        return Heartbeat(
            sender=self.process,
            incarnation=self.incarnation,
            hlc=hlc,
            revision=self.local.revision,
            led=self._own_led(),
            draining=self.local.draining,
            load=round(self.local.load, 2),
            store_pause_s=round(store_pause_s, 2),
            seen=self._sample_ages(now),
            claims=self._sample_claims(),
        )

    def summary(self, hlc, now, *, store_pause_s=0.0) -> DataCentreSummary:
        """Return the summary of the local data centre for the delegates of others.

        It lists this process first, then shard leaders, other live members and the
        rest, up to `SUMMARY_LIMIT` members in total.
        """
        views = [self._own_view()]
        others = [m for m in self.members.values() if m.data_centre == self.data_centre]
        others.sort(key=lambda m: (not m.led, not self.is_live(m.name, now), m.name))
        views += [self._view(m, now) for m in others[: SUMMARY_LIMIT - 1]]
        return DataCentreSummary(
            sender=self.process,
            incarnation=self.incarnation,
            hlc=hlc,
            data_centre=self.data_centre,
            revision=self.local.revision,
            members=tuple(views),
            store_pause_s=round(store_pause_s, 2),
        )

    def views(self, now) -> list[MemberView]:
        """Return a view of every member for `cluster status`, this process first."""
        return [self._own_view(), *(self._view(m, now) for m in self.members.values())]

    def _own_led(self):
        return tuple(LedShard(shard=s, epoch=e) for s, e in self.local.led.items())

    def _own_view(self):
        return MemberView(
            name=self.process,
            data_centre=self.data_centre,
            incarnation=self.incarnation,
            revision=self.local.revision,
            live=True,
            draining=self.local.draining,
            led=self._own_led(),
            load=round(self.local.load, 2),
        )

    def _view(self, member, now):
        return MemberView(
            name=member.name,
            data_centre=member.data_centre,
            incarnation=member.incarnation,
            revision=member.revision,
            live=self.is_live(member.name, now),
            draining=member.draining,
            led=member.led,
            load=member.load,
        )

    def _sample_ages(self, now):
        """Return incarnation and age of local members, remote leaders and delegates."""
        live = [m for m in self.members.values() if self.is_live(m.name, now)]
        local = [m for m in live if m.data_centre == self.data_centre]
        priority_names = {c.leader for c in self.claim_table.claims.values()}
        priority_names |= {self.delegate(c, now) for c in self.names}
        remote = [m for m in live if m not in local and m.name in priority_names]
        leaders = [m for m in local if m.name in priority_names][:SEEN_LIMIT]
        others = [m for m in local if m not in leaders]
        sample = [
            *leaders,  # in every heartbeat, since their age decides on takeovers
            *self._sample(others, SEEN_LIMIT - len(leaders)),
            *self._sample(remote, REMOTE_SEEN_LIMIT),
        ]
        return {
            m.name: (m.incarnation, round(max(now - m.heard_at, 0.0), 1))
            for m in sample
        }

    def _sample_claims(self):
        claims = self._sample(list(self.claim_table.claims.values()), CLAIM_LIMIT)
        return {c.shard: (c.epoch, c.leader) for c in claims}

    def _sample(self, items, limit):
        if len(items) <= limit:
            return items
        # A plain rotation can be in step with the ring of peers, so that each peer
        # always receives the same part; the hash makes the start pseudo-random.
        key = f"{self.process}/{self.heartbeat_count}".encode()
        start = xxhash.xxh64_intdigest(key) % len(items)
        return (items[start:] + items[:start])[:limit]
