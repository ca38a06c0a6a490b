"""Seeds of the soak that once broke a promise, with the cause of each."""

import attrs

__all__ = ["REGRESSIONS", "Regression"]


@attrs.frozen(kw_only=True)
class Regression:
    """One seed, the size at which it failed, and the cause."""

    seed: int
    seconds: float
    cause: str
    processes: int = 4
    runners: int = 8


REGRESSIONS = (
    Regression(
        seed=2,
        seconds=20.0,
        cause=(
            "ends of a gang after the first one were acknowledged before the job's "
            "completion was written, and forgotten while the store was away"
        ),
    ),
)
