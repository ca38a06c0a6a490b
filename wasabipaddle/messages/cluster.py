"""Question of an operator for the state of the cell."""

import attrs

from wasabipaddle.messages.members import MemberView

__all__ = ["ClusterView", "QueryCluster"]


@attrs.frozen(kw_only=True)
class QueryCluster:
    """Question for the members that this process knows."""


@attrs.frozen(kw_only=True)
class ClusterView:
    """Members of the cell as one process knows them."""

    members: tuple[MemberView, ...]
