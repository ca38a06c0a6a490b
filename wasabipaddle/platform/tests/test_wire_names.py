"""Tests that only the adapter depends on the platform's wire format."""

import pathlib
import re

import wasabipaddle

ROOT = pathlib.Path(wasabipaddle.__file__).parent
# Names that occur in the wire format only; those that are common words are left out.
WIRE_NAMES = re.compile(
    r"fencing_token|last_seen|run-start|run-stop|kv-|expected_rev\b|clock_ms\"|"
    r"machine-move|machine-upkeep|max_per_server|may_miss|long_running|op/config|"
    r"Fencing-Token|Lease-Holder|Expect-Instance|Instance-Id|servers/|enforces_cap\"|"
    r"decide_ms|each_ms|valid_ms|/readiness|Deadline-Ms|has_more|ttl_ms\b"
)
MAX_ADAPTER_LINES = 1_800


def test_only_the_adapter_uses_wire_names():
    """Guards against code outside the adapter that depends on the wire format."""
    found = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for path in sorted(ROOT.rglob("*.py"))
        if path.relative_to(ROOT).parts[0] != "platform"
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if WIRE_NAMES.search(line)
    ]
    assert found == []


def test_adapter_stays_small():
    """Guards against an adapter that does more than translate the wire format.

    More lines than the limit suggest scheduling decisions or state in the adapter.
    """
    lines = sum(
        len(path.read_text().splitlines()) for path in (ROOT / "platform").glob("*.py")
    )
    assert lines <= MAX_ADAPTER_LINES
