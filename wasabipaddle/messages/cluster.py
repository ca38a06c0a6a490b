"""Query of the members of the cell, for operators."""

import attrs

from wasabipaddle.messages.members import MemberView

__all__ = ["ClusterView", "QueryCluster"]


@attrs.frozen(kw_only=True)
class QueryCluster:
    """Asks a process which members it knows."""


@attrs.frozen(kw_only=True)
class ClusterView:
    """Members of the cell that one process knows."""

    members: tuple[MemberView, ...]
