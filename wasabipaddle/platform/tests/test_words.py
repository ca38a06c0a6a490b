"""The names of the platform's wire stay inside the adapter."""

import pathlib
import re

import wasabipaddle

ROOT = pathlib.Path(wasabipaddle.__file__).parent
# Names that only the platform uses; common words of the wire are left out.
WORDS = re.compile(
    r"fencing_token|last_seen|run-start|run-stop|kv-|expected_rev\b|clock_ms\"|"
    r"machine-move|machine-upkeep|max_per_server|may_miss|long_running|op/config|"
    r"Fencing-Token|Lease-Holder|Expect-Instance|Instance-Id|servers/|enforces_cap\"|"
    r"decide_ms|each_ms|valid_ms|/readiness|Deadline-Ms|has_more|ttl_ms\b"
)
MAX_ADAPTER_LINES = 1_800


def test_words_of_the_wire_stay_in_the_adapter():
    """Guards against decisions that depend on names of the platform."""
    found = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for path in sorted(ROOT.rglob("*.py"))
        if path.relative_to(ROOT).parts[0] != "platform"
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if WORDS.search(line)
    ]
    assert found == []


def test_adapter_stays_small():
    """Guards against decisions and state that move into the adapter."""
    lines = sum(
        len(path.read_text().splitlines()) for path in (ROOT / "platform").glob("*.py")
    )
    assert lines <= MAX_ADAPTER_LINES
