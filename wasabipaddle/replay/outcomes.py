"""Check of the expected outcomes of a trace."""

import operator

import attrs

__all__ = ["BrokenOutcome", "check_outcomes"]

_COMPARISONS = {"<=": operator.le, ">=": operator.ge, "==": operator.eq}


@attrs.frozen(kw_only=True)
class BrokenOutcome:
    """An expected outcome that does not hold.

    Parameters
    ----------
    expect : Expect
        The expected outcome.
    seen : float
        Value of its figure at the end of the replay.
    """

    expect: object
    seen: float

    def __str__(self):
        e = self.expect
        return f"{e.figure} is {self.seen:g}, expected {e.comparison} {e.value:g}"


def check_outcomes(expects, figures) -> BrokenOutcome | None:
    """Return the first expected outcome that does not hold, None if all hold.

    A figure that was never counted is 0.
    """
    for expect in expects:
        seen = figures.values.get(expect.figure, 0)
        if not _COMPARISONS[expect.comparison](seen, expect.value):
            return BrokenOutcome(expect=expect, seen=seen)
    return None
