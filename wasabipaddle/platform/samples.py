"""Valid bodies of the wire format, from which the fuzzing of decoders starts."""

__all__ = ["WIRE_SAMPLES"]

JOB_ID = "0" * 16
TASK = f"{JOB_ID}.0.0.0"
STEP = {
    "count": 2, "cpu": 500, "mem_mb": 10, "gpu": 1, "estimate_ms": 100, "may_miss": 1,
    "max_per_server": 1, "target_ms": 90, "requires": "x", "affinity": "r",
    "gang": True, "image": "i",
}  # fmt: skip
SPECS = (
    {"spec": "t", "steps": [STEP, {"count": 1, "after": [0]}]},
    {
        "spec": "t",
        "steps": [{"count": 1}],
        "repeat_count": 3,
        "start_at_ms": 1000,
        "interval_ms": 500,
    },
)
INVENTORY = {
    "clock_ms": 5000,
    "born": 17,
    "running": [[TASK, 1, "", 50], [f"{JOB_ID}.0.0.1", 2, "s", 0, 0.5]],
    "ended": [[1, f"{JOB_ID}.0.0.2", 1, "done", ""], [2, TASK, 1, "failed", None]],
    "reason": "fence",
}
ITEM = {"key": "servers/i-1", "value": "e30=", "revision": 3, "created": 1, "lease": 0}
MACHINE = {
    "machine": "m", "pool": "p", "state": "up", "zone": "z", "labels": ["k", "r"],
    "id": "i-1",
}  # fmt: skip
WIRE_SAMPLES = {
    "wave": ({"wave": 7, "machines": ["m", "n"], "duration_s": 5.5, "cap": 1},),
    "machines": ({"machines": [MACHINE, MACHINE]}, {"reason": "busy"}),
    "spec": SPECS,
    "runner": (INVENTORY, {"clock_ms": 5000, "born": 17, "reason": "old"}),
    "store": (
        ITEM,
        {"items": [ITEM, ITEM], "has_more": False, "as_of": 9},
        {"events": [ITEM, {"key": "k", "revision": 4, "deleted": True}], "as_of": 9},
        {"revision": 3, "lease": 4, "ttl_ms": 100, "items": [{"key": "k"}]},
    ),
    "advice": ({"good": [["i-1", "t"], ["i-2", "u"]], "valid_ms": 500},),
}
