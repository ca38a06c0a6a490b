"""Check of the stated outcomes of a trace."""

import operator

import attrs

__all__ = ["Broken", "check_outcomes"]

_COMPARISONS = {"<=": operator.le, ">=": operator.ge, "==": operator.eq}


@attrs.frozen(kw_only=True)
class Broken:
    """The first stated outcome that does not hold."""

    expect: object
    seen: float

    def __str__(self):
        e = self.expect
        return f"{e.figure} is {self.seen:g}, stated {e.comparison} {e.value:g}"


def check_outcomes(expects, figures) -> Broken | None:
    """Return the first broken outcome; a figure that never occurred is 0."""
    for expect in expects:
        seen = figures.values.get(expect.figure, 0)
        if not _COMPARISONS[expect.comparison](seen, expect.value):
            return Broken(expect=expect, seen=seen)
    return None
