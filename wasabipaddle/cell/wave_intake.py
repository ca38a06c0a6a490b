"""Watch of the waves of maintenance that the operator requests."""

from wasabipaddle.cell.intake import PrefixWatcher
from wasabipaddle.platform import WAVE_PREFIX, decode_wave

__all__ = ["WaveWatcher"]

# Time within which a wave takes effect if its watch stays without an answer. A wave
# takes much longer, so the watch can wait long.
WAVE_BOUND_S = 20.0
WATCH_PAUSE_S = 0.5


class WaveWatcher(PrefixWatcher):
    """Watch of the waves that the operator requests.

    A wave that cannot be read any more goes on as it was last read.

    Parameters
    ----------
    set_wave, withdraw : callable
        Called with a `MaintenanceWave`, and with the number of a wave without a key.
    """

    def __init__(self, *, store_plugin, set_wave, withdraw):
        super().__init__(
            store_plugin=store_plugin,
            name="waves",
            prefix=WAVE_PREFIX,
            bound_s=WAVE_BOUND_S,
            pause_s=WATCH_PAUSE_S,
        )
        self.set_wave = set_wave
        self.withdraw = withdraw
        self.keys = set()

    def apply_listing(self, entries):
        """Apply all waves; withdraw those without a key."""
        before, self.keys = self.keys, {entry.key for entry in entries}
        for entry in entries:
            self.attempt(self._apply_entry, entry)
        for key in before - self.keys:
            self._withdraw_key(key)

    def apply_change(self, change):
        """Apply a wave that was written or removed."""
        if change.value is not None:
            self.keys.add(change.key)
            self._apply_entry(change)
            return
        self.keys.discard(change.key)
        self._withdraw_key(change.key)

    def _apply_entry(self, entry):
        wave = decode_wave(entry)
        if wave.is_err():
            self.unreadable.record("wave", entry.key, wave.err().detail)
            return
        self.set_wave(wave.ok())

    def _withdraw_key(self, key):
        number = key.removeprefix(WAVE_PREFIX)
        if number.isascii() and number.isdecimal():
            self.withdraw(int(number))
