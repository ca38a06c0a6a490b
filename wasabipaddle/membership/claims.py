"""Claims of processes to lead shards."""

import attrs

__all__ = ["ClaimTable", "ShardClaim"]


@attrs.frozen(kw_only=True)
class ShardClaim:
    """Highest known claim to lead a shard."""

    shard: str
    epoch: int
    leader: str


class ClaimTable:
    """Highest claim per shard, and proofs that earlier leaders stopped."""

    def __init__(self):
        self.claims = {}
        self.ended_epochs = {}
        self.acknowledged_epochs = {}

    def add(self, claim):
        """Keep a claim if its epoch is the highest and is not known to have ended."""
        known = self.claims.get(claim.shard)
        floor = self.ended_epochs.get(claim.shard, 0)
        if claim.epoch > floor and (known is None or claim.epoch > known.epoch):
            self.claims[claim.shard] = claim

    def update_led(self, member, led):
        """Take over the shards that `member` says it leads."""
        kept = {s.shard for s in led}
        for shard in member.led:
            if shard.shard not in kept:
                self.end_claims(shard.shard, shard.epoch)
        member.led = tuple(led)
        for shard in led:
            self.add(
                ShardClaim(shard=shard.shard, epoch=shard.epoch, leader=member.name)
            )

    def end_claims(self, shard, epoch):
        """Forget claims to a shard up to `epoch`, whoever repeats them."""
        self.ended_epochs[shard] = max(self.ended_epochs.get(shard, 0), epoch)
        claim = self.claims.get(shard)
        if claim is not None and claim.epoch <= epoch:
            del self.claims[shard]

    def record_reply(self, reply, sent):
        """Record what the reply to a heartbeat proves about earlier leaders.

        A receiver that does not lead a shard after it was told a higher epoch cannot
        lead it under a lower one again.
        """
        for shard in sent.led:
            self._record_acknowledgement(reply, shard.shard, shard.epoch)

    def record_claims(self, heartbeat):
        """Record what the claims that a member repeats prove about itself.

        Two members exchange heartbeats that only one of them begins, so a leader may
        never get a reply from the member that it replaced.
        """
        for shard, (epoch, _) in heartbeat.claims.items():
            self._record_acknowledgement(heartbeat, shard, epoch)

    def _record_acknowledgement(self, heartbeat, shard, epoch):
        if any(s.shard == shard for s in heartbeat.led):
            return
        key = (heartbeat.sender, heartbeat.incarnation, shard)
        self.acknowledged_epochs[key] = max(self.acknowledged_epochs.get(key, 0), epoch)

    def has_acknowledged(self, name, incarnation, shard, epoch) -> bool:
        """Return whether a process answered that it does not lead below `epoch`."""
        return self.acknowledged_epochs.get((name, incarnation, shard), 0) >= epoch
