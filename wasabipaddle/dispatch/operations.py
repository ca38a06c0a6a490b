"""Progress of waves of maintenance and of their machines."""

import enum
import math

import attrs

from wasabipaddle.jobs.maintenance import MaintenanceWave, WaveRecord

__all__ = [
    "Operation",
    "OperationPhase",
    "WaveProgress",
    "WaveWaitReason",
]

# First and longest pause between two calls for a machine.
RETRY_S = 0.5
MAX_RETRY_S = 4.0
# Failures in a row that a pause counts; it has reached its longest value by then.
MAX_COUNTED_FAILURES = 16


class OperationPhase(enum.Enum):
    """Phase of the maintenance of one machine.

    ASKED begins before the first call, and goes on until a call is answered.
    """

    DRAINING = "draining"
    ASKED = "asked"
    BEGUN = "begun"


class WaveWaitReason(enum.Enum):
    """What a wave waits for."""

    NONE = "none"
    CAP = "cap"
    SERVICE = "service"
    MACHINE = "machine"
    OTHER_WAVE = "other_wave"
    ALLOWANCE = "allowance"
    ROOM = "room"
    TAKEOVER = "takeover"
    LEAVING = "leaving"
    DRAIN = "drain"
    CALL = "call"
    MAINTENANCE = "maintenance"


@attrs.define(kw_only=True, eq=False)
class Operation:
    """Maintenance of one machine in progress.

    Parameters
    ----------
    machine, runner : str
        Machine and the runner on it, empty if it has none.
    wave : int
        Number of the wave.
    phase : OperationPhase
        Current phase.
    drain_until_s : float
        Time until which runs may end by themselves.
    asked_s : float
        Time from which the service could be asked, in the phase ASKED.
    calling : bool
        Whether a call is in progress.
    doubtful_until_s : float
        Time until which a call without an answer may yet be carried out.
    next_call_s : float
        Time from which the next call is allowed.
    failures : int
        Number of calls in a row that were not accepted.
    back_after_s : float
        Time from which a list may show that the machine is back.
    quiet_since_s : float or None
        Time since which the runner has been empty, None if it is not.
    registered : bool
        Whether the registry listed the runner when that was last examined.
    """

    machine: str
    wave: int
    runner: str = ""
    phase: OperationPhase = OperationPhase.DRAINING
    drain_until_s: float = 0.0
    asked_s: float = math.inf
    calling: bool = False
    doubtful_until_s: float = -math.inf
    next_call_s: float = 0.0
    failures: int = 0
    back_after_s: float = math.inf
    quiet_since_s: float | None = None
    registered: bool = False

    def may_begin(self, now) -> bool:
        """Return whether a call may yet begin the maintenance."""
        return self.calling or now < self.doubtful_until_s

    def back_off(self, now):
        """Allow the next call after a pause, which grows with the failures in a row."""
        pause_s = min(RETRY_S * 2**self.failures, MAX_RETRY_S)
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
        self.next_call_s = now + pause_s

    def unanswered_since_s(self, answered_s) -> float:
        """Return the time since which no call has got an answer, in the phase ASKED.

        Parameters
        ----------
        answered_s : float
            Time of the latest answer to a call for any machine. It tells that the
            service is busy with others if it refuses calls because of their rate.
        """
        since_s = max(self.asked_s, self.doubtful_until_s)
        return max(since_s, answered_s) if self.failures else since_s


@attrs.define(kw_only=True, eq=False)
class WaveProgress:
    """Progress of one wave.

    Parameters
    ----------
    number : int
        Number of the wave.
    wave : MaintenanceWave or None
        Current request, None if there is none that could be read.
    withdrawn : bool
        Whether the operator has removed the request.
    first_seen_ms : int
        Unix time in milliseconds at which a dispatcher first saw the wave.
    asked : dict of str to str
        Machines with an operation in the phase ASKED, and their runners.
    begun : dict of str to None
        Machines whose maintenance has begun, in that order.
    absent : dict of str to None
        Machines that were gone when the service last listed the machines.
    completed : bool
        Whether each machine has begun its maintenance or is gone.
    version, stored_version : int
        Version of what the store should have, and version that it has.
    revision : int
        Revision of the stored record, 0 if there is none.
    reason : WaveWaitReason
        What the wave waits for.
    late : bool
        Whether the wave cannot end in time any more.
    logged_reason : WaveWaitReason or None
        Reason in the last log line about a late wave.
    logged_s : float
        Time of that line.
    """

    number: int
    wave: MaintenanceWave | None = None
    withdrawn: bool = False
    first_seen_ms: int = 0
    asked: dict = attrs.field(factory=dict)
    begun: dict = attrs.field(factory=dict)
    absent: dict = attrs.field(factory=dict)
    completed: bool = False
    version: int = 1
    stored_version: int = 0
    revision: int = 0
    reason: WaveWaitReason = WaveWaitReason.NONE
    late: bool = False
    logged_reason: WaveWaitReason | None = None
    logged_s: float = -math.inf

    @property
    def stored(self) -> bool:
        """Whether the store has the latest version."""
        return self.stored_version == self.version

    def requests(self, machine) -> bool:
        """Return whether the wave asks for a machine."""
        return self.wave is not None and machine in self.wave.machines

    def note_absent(self, view):
        """Record which machines are gone by the latest lists."""
        for name in self.wave.machines:
            if view.is_gone(name):
                self.absent[name] = None
            elif name in view.machines:
                self.absent.pop(name, None)

    def machines_left(self):
        """Return the machines that have not begun their maintenance and are there."""
        return [
            name
            for name in self.wave.machines
            if name not in self.begun and name not in self.absent
        ]

    def change(self):
        """Note that the record has to be stored again."""
        self.version += 1

    def to_record(self) -> WaveRecord:
        """Return the record to store."""
        return WaveRecord(
            first_seen_ms=self.first_seen_ms,
            asked=dict(self.asked),
            begun=tuple(self.begun),
            absent=tuple(self.absent),
            completed=self.completed,
        )
