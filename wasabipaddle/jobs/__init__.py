"""Data model of multi-step jobs, queues and runners, with the stored form of jobs."""

from wasabipaddle.jobs.access import identify_workspace, may_reach, requires_key
from wasabipaddle.jobs.checks import find_quota_problem
from wasabipaddle.jobs.configuration import (
    AdvicePolicy,
    CellConfiguration,
    Limits,
    Pool,
    Queue,
    Workspace,
    digest_key,
)
from wasabipaddle.jobs.fleet import (
    Capacity,
    RecordedRunner,
    RunnerEntry,
    decode_fleet,
    encode_fleet,
)
from wasabipaddle.jobs.model import Job, JobPhase, JobSpec, StepSpec, TaskId
from wasabipaddle.jobs.records import (
    JobProgress,
    decode_job,
    decode_progress,
    encode_job,
    encode_progress,
)

__all__ = [
    "AdvicePolicy",
    "Capacity",
    "CellConfiguration",
    "Job",
    "JobPhase",
    "JobProgress",
    "JobSpec",
    "Limits",
    "Pool",
    "Queue",
    "RecordedRunner",
    "RunnerEntry",
    "StepSpec",
    "TaskId",
    "Workspace",
    "decode_fleet",
    "decode_job",
    "decode_progress",
    "digest_key",
    "encode_fleet",
    "encode_job",
    "encode_progress",
    "find_quota_problem",
    "identify_workspace",
    "may_reach",
    "requires_key",
]
