"""Table of document revisions that every process holds, and its event."""

from wasabipaddle.relay.events import DocumentApplied
from wasabipaddle.relay.table import AppliedRevision, RevisionTable

__all__ = ["AppliedRevision", "DocumentApplied", "RevisionTable"]
