"""Distribution of document revisions to every process."""

from wasabipaddle.relay.facts import DocumentApplied
from wasabipaddle.relay.table import Applied, RevisionTable

__all__ = ["Applied", "DocumentApplied", "RevisionTable"]
