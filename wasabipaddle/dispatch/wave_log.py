"""Log lines about waves of maintenance."""

from wasabipaddle.dispatch.operations import WaveWaitReason

__all__ = ["note_wave"]

MS_PER_S = 1000
# Shortest time between two log lines about what a wave waits for.
REASON_PERIOD_S = 10.0
# Reasons with which a wave makes progress.
PROGRESS_REASONS = frozenset(
    {
        WaveWaitReason.NONE,
        WaveWaitReason.DRAIN,
        WaveWaitReason.CALL,
        WaveWaitReason.MAINTENANCE,
    }
)


def note_wave(state, progress, pace, left, now):
    """Log what a wave waits for when that changes, and that it will end too late.

    Parameters
    ----------
    pace : WavePace
        What the time that is left to the wave allows.
    left : list of str
        Machines that have not begun.
    """
    became_late = pace.late and not progress.late
    progress.late = pace.late
    waits = progress.reason not in PROGRESS_REASONS
    changed = progress.reason is not progress.logged_reason
    if now - progress.logged_s < REASON_PERIOD_S and not became_late:
        return
    if not became_late and not (waits and changed):
        return
    progress.logged_reason, progress.logged_s = progress.reason, now
    state.journal(
        "maintenance_late" if pace.late else "maintenance_waits",
        wave=progress.number,
        reason=progress.reason.value,
        machines_left=len(left),
        time_left_ms=int(pace.left_s * MS_PER_S),
    )
