"""Leader election for shards by compare-and-swap in the platform's store."""

from wasabipaddle.leadership.election import ShardElection
from wasabipaddle.leadership.events import LeaderElected, LeaderSteppedDown
from wasabipaddle.leadership.membership_view import MembershipView
from wasabipaddle.leadership.record import EarlierLeader, LeaderRecord, leader_key

__all__ = [
    "MembershipView",
    "EarlierLeader",
    "LeaderElected",
    "LeaderRecord",
    "LeaderSteppedDown",
    "ShardElection",
    "leader_key",
]
