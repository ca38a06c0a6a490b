"""Valid values from which the inputs of decoders are made."""

import json

import attrs

from wasabipaddle.fuzz.stubs import JOB, RUNNER
from wasabipaddle.jobs import (
    AdvicePolicy,
    CellConfiguration,
    JobPhase,
    JobProgress,
    JobSpec,
    Queue,
    RecordedRunner,
    StepSpec,
    encode_fleet,
    encode_job,
    encode_progress,
)
from wasabipaddle.jobs.maintenance import WaveRecord, encode_wave_record
from wasabipaddle.platform.client import encode_configuration, encode_runner
from wasabipaddle.platform.samples import WIRE_SAMPLES

__all__ = ["SAMPLES"]

TASK = f"{JOB.id}.0.0.0"
ADDRESS = RUNNER.address
QUEUE = attrs.evolve(
    JOB.policy, advice=AdvicePolicy(base_s=0.1, per_runner_s=0.01, valid_s=5.0)
)
SCHEDULED = JobSpec(
    payload="p",
    steps=(
        StepSpec(count=2, cpu=500, memory_mb=10, gang=True, max_per_runner=1),
        StepSpec(count=2, estimate_s=1.5, after=(0,), required_label="x"),
        StepSpec(count=1, lasting=True, opportunistic=True, disruption_allowance=0),
    ),
    occurrences=3,
    first_due_ms=1000,
    interval_ms=500,
)
RUNNERS = (RUNNER, attrs.evolve(RUNNER, draining=True, labels=("k", "r"), cold_s=0.5))
ROWS = [
    RecordedRunner.create(RUNNERS[0]),
    RecordedRunner.create(RUNNERS[1], wait_s=1.5, term=3),
    RecordedRunner.create(RUNNERS[1], jobs=("j-1", "j-2"), term=3),
    RecordedRunner.create_identified("i-2", wait_s=0.5, term=3),
]
PROGRESS = JobProgress(
    phase=JobPhase.RUNNING,
    completed={"0.0": [0, 2], "0.1": [0]},
    failures={"0.0.1": [5], "0.0.gang": [6]},
    ended_ms=7,
)
WAVE_RECORD = WaveRecord(
    first_seen_ms=5, asked={"m": "i-1"}, begun=("n",), absent=("o",), completed=True
)
CONFIGURATION = CellConfiguration(
    version=3,
    queues=(QUEUE, Queue(name="b", host="h", prefix="/b/", pool="p", priority=2)),
)
MESSAGES = (
    {"job": "0" * 16, "occurrence": 0, "step": 0, "runners": ["i-1"], "timeout_s": 1.0},
    {"process": "p0", "address": ADDRESS, "epoch": 5, "life": 3, "processor": 1.5},
    {"configuration": 3, "waiting": {"q": 1}, "members": {"p0": ADDRESS}, "leader": {}},
    {"version": 3, "revision": 9, "data": "eJwDAAAAAAE="},
    {"tickets": {"i-1": "t"}, "valid_s": 5.0, "phase": "running"},
    {"sender": "p0", "incarnation": 1, "shard": "s", "key": "k", "request": "r"},
    {"kind": "timeout", "detail": "x", "retry_after_s": 0.5},
)


def _read(data):
    return json.loads(data)


SAMPLES = {
    **WIRE_SAMPLES,
    "registry": tuple(_read(encode_runner(runner, 1)[1]) for runner in RUNNERS),
    "fleet": (_read(encode_fleet(ROWS)), _read(encode_fleet(ROWS[:1]))),
    "job": (
        _read(encode_job(JOB)),
        _read(encode_job(attrs.evolve(JOB, policy=QUEUE, spec=SCHEDULED))),
    ),
    "progress": (_read(encode_progress(PROGRESS)),),
    "wave_record": (_read(encode_wave_record(WAVE_RECORD)),),
    "configuration": (_read(encode_configuration(CONFIGURATION)[1]),),
    "leader": ({"process": "p0", "address": ADDRESS, "life": 5},),
    "term": ({"process": "p0", "number": 5, "life": 5},),
    "shard_leader": (
        {
            "leader": "e00",
            "incarnation": 1,
            "epoch": 3,
            "unproven": [{"leader": "e01", "incarnation": 2}],
        },
    ),
    "messages": (*MESSAGES, {"job": _read(encode_job(JOB))}),
    "text": ([ADDRESS, TASK, "1500"], "[::1]:80", "localhost:80", TASK),
    "batch": (
        {"operation": "o", "epoch": 1, "records": [{"tag": "x", "body": {"run": "r"}}]},
    ),
    "documents": (
        {"operation": "o", "editor": "e", "team": "t", "text": "service: x"},
        MESSAGES[-1],
    ),
}
