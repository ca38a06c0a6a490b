"""Claims of processes to lead shards."""

import attrs

__all__ = ["ClaimBook", "ShardClaim"]


@attrs.frozen(kw_only=True)
class ShardClaim:
    """Highest known claim to lead a shard."""

    shard: str
    epoch: int
    leader: str


class ClaimBook:
    """Highest claim per shard, and proofs that earlier leaders stopped."""

    def __init__(self):
        self.claims = {}
        self.ended = {}
        self.answered = {}

    def add(self, claim):
        """Keep a claim if its epoch is the highest and is not known to have ended."""
        known = self.claims.get(claim.shard)
        floor = self.ended.get(claim.shard, 0)
        if claim.epoch > floor and (known is None or claim.epoch > known.epoch):
            self.claims[claim.shard] = claim

    def replace(self, member, led):
        """Take over the shards that `member` says it leads."""
        kept = {s.shard for s in led}
        for shard in member.led:
            if shard.shard not in kept:
                self.end(shard.shard, shard.epoch)
        member.led = tuple(led)
        for shard in led:
            self.add(
                ShardClaim(shard=shard.shard, epoch=shard.epoch, leader=member.name)
            )

    def end(self, shard, epoch):
        """Forget claims to a shard up to `epoch`, whoever repeats them."""
        self.ended[shard] = max(self.ended.get(shard, 0), epoch)
        claim = self.claims.get(shard)
        if claim is not None and claim.epoch <= epoch:
            del self.claims[shard]

    def note_reply(self, reply, sent):
        """Record what the reply to a heartbeat proves about earlier leaders.

        A receiver that does not lead a shard after it was told a higher epoch cannot
        lead it under a lower one again.
        """
        for shard in sent.led:
            self._note_knowledge(reply, shard.shard, shard.epoch)

    def note_claims(self, heartbeat):
        """Record what the claims that a member repeats prove about itself.

        Two members exchange heartbeats that only one of them begins, so a leader may
        never get a reply from the member that it replaced.
        """
        for shard, (epoch, _) in heartbeat.claims.items():
            self._note_knowledge(heartbeat, shard, epoch)

    def _note_knowledge(self, heartbeat, shard, epoch):
        if any(s.shard == shard for s in heartbeat.led):
            return
        key = (heartbeat.sender, heartbeat.incarnation, shard)
        self.answered[key] = max(self.answered.get(key, 0), epoch)

    def has_answered(self, name, incarnation, shard, epoch) -> bool:
        """Return whether a process answered that it does not lead below `epoch`."""
        return self.answered.get((name, incarnation, shard), 0) >= epoch
