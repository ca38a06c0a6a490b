"""Seeds of the soak test that once violated a guarantee, with the cause of each."""

import attrs

from wasabipaddle.soak.names import BASIC_FAULTS

__all__ = ["REGRESSIONS", "Regression"]


@attrs.frozen(kw_only=True)
class Regression:
    """One seed, the size of the cell and the faults with which it failed, the cause."""

    seed: int
    seconds: float
    cause: str
    processes: int = 4
    runners: int = 8
    faults: tuple[str, ...] = BASIC_FAULTS
    workspaces: bool = False
    memory_bound: bool = False
    removal_limited: bool = True


REGRESSIONS = (
    Regression(
        seed=2,
        seconds=20.0,
        cause=(
            "the ends of the second and later gang members were acknowledged before "
            "the completion of the job was stored, and were lost while the store was "
            "unavailable"
        ),
    ),
    Regression(
        seed=41,
        seconds=20.0,
        cause=(
            "a signal to reload settings ended a process that was still starting; "
            "also, a caller gave up its cancellation during an outage and was told "
            "that its job was lost"
        ),
    ),
    Regression(
        seed=303,
        seconds=8.0,
        cause=(
            "a watch of the registry whose connection had fallen silent hid departures "
            "for 9 s, and runs were started on runners that were leaving"
        ),
    ),
    Regression(
        seed=4302,
        seconds=20.0,
        cause=(
            "an acknowledgement that was meant for the earlier life of a runner made "
            "the next one forget ends that nobody had seen"
        ),
        faults=("runner_restarted", "replies_overtake"),
    ),
    Regression(
        seed=47,
        seconds=16.0,
        cause=(
            "requests that renew tickets named the eligible runners with the most free "
            "processors, whose memory was full, so lasting tasks had no valid ticket "
            "for the runners with room"
        ),
        runners=12,
        faults=("configured",),
        memory_bound=True,
    ),
)
