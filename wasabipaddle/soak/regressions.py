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
    Regression(
        seed=41,
        seconds=20.0,
        cause=(
            "a request to reload settings ended a process that was still being "
            "loaded; also a caller that gave its cancellation up in an outage, and "
            "was told that its job is lost"
        ),
    ),
)
