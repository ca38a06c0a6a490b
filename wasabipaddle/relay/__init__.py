"""Distribution of document revisions to every process."""

from wasabipaddle.relay.events import DocumentApplied
from wasabipaddle.relay.table import AppliedRevision, RevisionTable

__all__ = ["AppliedRevision", "DocumentApplied", "RevisionTable"]
