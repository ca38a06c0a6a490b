"""Proof that the configuration of a process is young enough to trust its keys."""

import math

__all__ = ["ConfigurationFreshness"]

# Part of the bound by which the clocks of two VMs may differ over its length.
CLOCK_TOLERANCE = 0.02
# Part of the bound after which a process looks for another proof and is not ready. What
# is left suffices for two failed probes, so callers move before they are refused.
OVERDUE_SHARE = 0.5


class ConfigurationFreshness:
    """Latest time at which no configuration newer than the current one existed.

    A proof is the time at which a call was sent whose answer shows no newer version
    than the current one. A later version in use does not invalidate it, as it is newer
    than what existed at that time. Nothing else is a proof: a copy of a configuration
    may be of any age, and a restarted process starts without one.

    All times are on the boot clock of this process, which counts suspensions, in
    seconds. With a bound of 0, removed keys have no time limit and no proof is needed.

    Attributes
    ----------
    proved_s : float
        Time of the latest proof.
    lost_since_s : float or None
        Time at which the proof was found to be too old, None while it holds.
    """

    def __init__(self):
        self.proved_s = -math.inf
        self.lost_since_s = None

    def confirm(self, sent_s):
        """Record that the answer to a call showed no version newer than the current.

        Parameters
        ----------
        sent_s : float
            Time at which the call was sent. The answer may have been given right after
            that, and may have been received much later.
        """
        self.proved_s = max(self.proved_s, sent_s)

    def confirm_by_peer(self, sent_s, age_s, *, peer_version, version):
        """Record the proof of another process, unless its version is newer.

        Parameters
        ----------
        sent_s : float
            Time at which this process asked.
        age_s : float or None
            Age of the proof of the other process when it replied, None if it has none.
            The two clocks have no common origin, so only ages are exchanged.
        peer_version, version : int
            Versions in use by the other process and by this one.
        """
        if age_s is not None and 0 <= age_s < math.inf and peer_version <= version:
            self.confirm(sent_s - age_s)

    def age_s(self, now_s) -> float:
        """Return the age of the proof in seconds, infinite if there is none."""
        return now_s - self.proved_s

    def holds(self, now_s, bound_s) -> bool:
        """Return whether calls with keys may be admitted.

        A call that has arrived was sent before `now_s`. A key that was removed more
        than `bound_s` before that had been removed when the proof was made, so the
        current configuration does not contain it.
        """
        return bound_s <= 0 or self.age_s(now_s) <= bound_s * (1 - CLOCK_TOLERANCE)

    def overdue(self, now_s, bound_s) -> bool:
        """Return whether the proof may soon be too old."""
        return bound_s > 0 and self.age_s(now_s) > bound_s * OVERDUE_SHARE

    def observe(self, now_s, bound_s) -> bool:
        """Return whether the proof has been lost or regained since the last call."""
        held, holds = self.lost_since_s is None, self.holds(now_s, bound_s)
        if held is holds:
            return False
        self.lost_since_s = None if holds else now_s
        return True
