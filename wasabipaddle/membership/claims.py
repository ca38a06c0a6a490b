"""Claims of processes to lead shards."""

import attrs

__all__ = ["ClaimTable", "ShardClaim"]


@attrs.frozen(kw_only=True)
class ShardClaim:
    """Claim of a process to lead a shard under an epoch."""

    shard: str
    epoch: int
    leader: str


class ClaimTable:
    """Claim with the highest epoch per shard, and proofs that earlier leaders stopped.

    Attributes
    ----------
    claims : dict of str to ShardClaim
        Claim with the highest epoch per shard.
    ended_epochs : dict of str to int
        Highest epoch per shard whose leader no longer claims the shard.
    acknowledged_epochs : dict of tuple to int
        Highest epoch of a shard that a process knew while it did not lead the shard,
        by process name, incarnation and shard.
    """

    def __init__(self):
        self.claims = {}
        self.ended_epochs = {}
        self.acknowledged_epochs = {}

    def add(self, claim):
        """Keep a claim if its epoch is the highest and is not known to have ended."""
        known = self.claims.get(claim.shard)
        ended_epoch = self.ended_epochs.get(claim.shard, 0)
        if claim.epoch > ended_epoch and (known is None or claim.epoch > known.epoch):
            self.claims[claim.shard] = claim

    def update_led_shards(self, member, led):
        """Store the shards that `member` reports to lead; end its claims to others."""
        kept = {s.shard for s in led}
        for led_shard in member.led:
            if led_shard.shard not in kept:
                self.end_claims(led_shard.shard, led_shard.epoch)
        member.led = tuple(led)
        for led_shard in led:
            self.add(
                ShardClaim(
                    shard=led_shard.shard, epoch=led_shard.epoch, leader=member.name
                )
            )

    def end_claims(self, shard, epoch):
        """Drop claims to a shard under epochs up to `epoch`.

        Such claims are ignored if they are received again.
        """
        self.ended_epochs[shard] = max(self.ended_epochs.get(shard, 0), epoch)
        claim = self.claims.get(shard)
        if claim is not None and claim.epoch <= epoch:
            del self.claims[shard]

    def record_reply(self, reply, sent):
        """Record what the reply to a heartbeat proves about earlier leaders.

        A process that has learned of an epoch of a shard and does not lead the shard
        cannot lead it under a lower epoch any more.
        """
        for led_shard in sent.led:
            self._record_acknowledgement(reply, led_shard.shard, led_shard.epoch)

    def record_claims(self, heartbeat):
        """Record what the claims in a heartbeat prove about its sender.

        In most pairs of members only one side sends heartbeats and the other replies,
        so a leader may never get a reply from the member that it replaced.
        """
        for shard, (epoch, _) in heartbeat.claims.items():
            self._record_acknowledgement(heartbeat, shard, epoch)

    def _record_acknowledgement(self, heartbeat, shard, epoch):
        if any(s.shard == shard for s in heartbeat.led):
            return
        key = (heartbeat.sender, heartbeat.incarnation, shard)
        self.acknowledged_epochs[key] = max(self.acknowledged_epochs.get(key, 0), epoch)

    def has_acknowledged(self, name, incarnation, shard, epoch) -> bool:
        """Return whether a process has acknowledged `epoch` or a higher one of a shard.

        It cannot lead the shard under a lower epoch any more.
        """
        return self.acknowledged_epochs.get((name, incarnation, shard), 0) >= epoch
