"""Messages between the processes of a cell, and the JSON codec for them."""

from wasabipaddle.messages.cluster import ClusterView, QueryCluster
from wasabipaddle.messages.codec import decode, encode, encode_sparse
from wasabipaddle.messages.events import EventPage, QueryEvents
from wasabipaddle.messages.grants import Grant, GrantReply, GrantRequest, PoolDemand
from wasabipaddle.messages.keys import (
    ClaimKey,
    ClaimReply,
    KeptReply,
    KeyRecord,
    KeyRecordsPage,
    KeyRecordsQuery,
    QueryKept,
    ReleaseKey,
)
from wasabipaddle.messages.members import (
    DataCentreSummary,
    DrainNotice,
    Heartbeat,
    HeartbeatReply,
    LeaderHandover,
    LedShard,
    MemberView,
)
from wasabipaddle.messages.requests import (
    ForwardReply,
    ForwardRequest,
    RoutedAnswer,
    RouteRequest,
)
from wasabipaddle.messages.revisions import (
    DocumentRevision,
    RevisionPage,
    RevisionQuery,
)
from wasabipaddle.messages.runs import (
    CancelRun,
    ListRuns,
    QueryRun,
    RunOutcome,
    RunPage,
    RunState,
    RunView,
    StopRun,
    SubmitRun,
    TaskView,
    WaitRun,
)

__all__ = [
    "CancelRun",
    "ClaimKey",
    "ClaimReply",
    "ClusterView",
    "DataCentreSummary",
    "DocumentRevision",
    "DrainNotice",
    "EventPage",
    "ForwardReply",
    "ForwardRequest",
    "Grant",
    "GrantReply",
    "GrantRequest",
    "Heartbeat",
    "HeartbeatReply",
    "KeptReply",
    "KeyRecord",
    "KeyRecordsPage",
    "KeyRecordsQuery",
    "LeaderHandover",
    "LedShard",
    "ListRuns",
    "MemberView",
    "PoolDemand",
    "QueryCluster",
    "QueryEvents",
    "QueryKept",
    "QueryRun",
    "ReleaseKey",
    "RevisionPage",
    "RevisionQuery",
    "RouteRequest",
    "RoutedAnswer",
    "RunOutcome",
    "RunPage",
    "RunState",
    "RunView",
    "StopRun",
    "SubmitRun",
    "TaskView",
    "WaitRun",
    "decode",
    "encode",
    "encode_sparse",
]
