"""Role `cell_configuration`: the current configuration of this process."""

import asyncio
import math

from wasabipaddle.cell.events import (
    ConfigurationChanged,
    LeadershipGained,
    LeadershipLost,
)
from wasabipaddle.cell.freshness import ConfigurationFreshness
from wasabipaddle.cell.store import CellStorePlugin
from wasabipaddle.cell.watch import StoreWatch
from wasabipaddle.kernel import Plugin
from wasabipaddle.platform import CONFIGURATION_KEY, decode_configuration
from wasabipaddle.serve.tasks import TaskSet

__all__ = ["ConfigurationPlugin"]

# The leader watches the store and sends changes to the other processes. They poll the
# store only as a fallback: if each of them read a large configuration from the store,
# the link between regions would be saturated.
POLL_PERIOD_S = 1.0
# Time for a copy from the leader to arrive before the store is polled.
COPY_GRACE_S = 0.4
RETRY_S = 0.15
MS_PER_S = 1000
# Parts of the bound on removed keys: longest time between two polls, and time within
# which a watch must have been answered. Both keep the proof from becoming overdue as
# long as the store answers.
POLL_SHARE = 0.2
WATCH_SHARE = 0.4
# Part of the time within which a version must be in force after which other processes
# are asked. Longer than the wait of the leader's watch, so that none asks on calm days.
CONFIRMATION_SHARE = 0.6


class ConfigurationPlugin(Plugin):
    """Follows the configuration in the store and applies only higher versions.

    Attributes
    ----------
    current : CellConfiguration or None
        Current configuration, None until the first one has been applied.
    value : bytes
        Stored form of the current configuration.
    watch : StoreWatch
        Watch of the configuration; its revision is None before the first read and after
        a failed poll.
    freshness : ConfigurationFreshness
        Proof that the current configuration is young enough to admit calls with keys.
    answered_s : float
        Time on the boot clock of the last answer of the store, which is later than that
        of a proof if the store held the call back.
    unconfirmed_since_s : float or None
        Time on the boot clock at which `unconfirmed_s` exceeded the time within which a
        version must be in force, None while it does not.
    """

    name = "cell_configuration"
    requires = (CellStorePlugin.name,)

    def __init__(self, *, context):
        super().__init__(context=context)
        self.current = None
        self.value = b""
        self.is_leader = False
        self.tasks = TaskSet()
        self.poll_due = asyncio.Event()
        self.known_version = 0
        self.unreadable_value = None
        self.freshness = ConfigurationFreshness()
        self.answered_s = -math.inf
        self.unconfirmed_since_s = None

    async def start(self):
        """Start to follow the configuration in the store."""
        self.context.metrics.gauge("configuration_proof_age_s", self.proof_age_s)
        bound_s = self.context.settings.bounds.configuration_s
        if self.revocation_s:
            bound_s = min(bound_s, WATCH_SHARE * self.revocation_s)
        self.watch = StoreWatch(
            store_plugin=self.context.plugins[CellStorePlugin.name],
            name="configuration",
            prefix=CONFIGURATION_KEY,
            bound_s=bound_s,
        )
        bus = self.context.bus
        bus.events(LeadershipGained).subscribe(lambda _: self._set_leader(True))
        bus.events(LeadershipLost).subscribe(lambda _: self._set_leader(False))
        self.tasks.keep_running(self._follow)

    async def stop(self):
        """Stop following the store."""
        await self.tasks.close()

    @property
    def version(self) -> int:
        """Version of the current configuration, 0 if there is none."""
        return self.current.version if self.current else 0

    @property
    def revocation_s(self) -> float:
        """Time after which no removed key may be in use, 0 if there is no limit."""
        return self.context.settings.bounds.revocation_s

    def proof_age_s(self) -> float:
        """Return how long ago the current configuration certainly was the latest."""
        return self.freshness.age_s(self.context.clock.boot_s())

    def state_proof_age(self) -> float | None:
        """Return the age of the proof for a message, None if there is no proof."""
        age_s = self.proof_age_s()
        return age_s if age_s < math.inf else None

    @property
    def proof_overdue(self) -> bool:
        """Whether calls with keys may soon have to be refused."""
        return self.freshness.overdue(self.context.clock.boot_s(), self.revocation_s)

    def unconfirmed_s(self) -> float:
        """Return for how long neither the store nor a process has told the version."""
        answer_age_s = self.context.clock.boot_s() - self.answered_s
        return min(answer_age_s, self.proof_age_s())

    @property
    def needs_confirmation(self) -> bool:
        """Whether to ask other processes for a newer version, or for their proof.

        The store has not answered for a while, and no process has passed on a recent
        proof. The leader may be a former one that the store refuses as well.
        """
        bound_s = self.context.settings.bounds.configuration_s
        return self.unconfirmed_s() > CONFIRMATION_SHARE * bound_s or self.proof_overdue

    def confirm_by_peer(self, sent_s, reply):
        """Use the proof in a `HelloReply` to a message sent at boot time `sent_s`."""
        self.freshness.confirm_by_peer(
            sent_s,
            reply.configuration_age_s,
            peer_version=reply.configuration,
            version=self.version,
        )
        self.check_proof()

    def check_proof(self) -> bool:
        """Return whether calls with keys may be admitted; log changes of that.

        Without a proof the store is polled at once, as after a suspension.
        """
        now_s, bound_s = self.context.clock.boot_s(), self.revocation_s
        self._log_confirmation(now_s)
        holds = self.freshness.holds(now_s, bound_s)
        since_s = self.freshness.lost_since_s
        if self.freshness.observe(now_s, bound_s):
            fields = {"version": self.version}
            if holds:
                fields["lost_ms"] = int((now_s - since_s) * MS_PER_S)
            elif (age_s := self.state_proof_age()) is not None:
                fields["age_ms"] = int(age_s * MS_PER_S)
            kind = "regained" if holds else "lost"
            self.context.journal(f"configuration_proof_{kind}", **fields)
        if not holds:
            self.poll_due.set()
        return holds

    def _log_confirmation(self, now_s):
        """Log when changes may no longer be in force in time, and when they are."""
        age_s, since_s = self.unconfirmed_s(), self.unconfirmed_since_s
        unconfirmed = age_s > self.context.settings.bounds.configuration_s
        if self.current is None or unconfirmed is (since_s is not None):
            return
        self.unconfirmed_since_s = now_s if unconfirmed else None
        if unconfirmed:
            self.context.journal(
                "configuration_unconfirmed",
                version=self.version,
                age_ms=int(age_s * MS_PER_S) if age_s < math.inf else None,
                leads=self.is_leader,
            )
        else:
            lost_ms = int((now_s - since_s) * MS_PER_S)
            self.context.journal(
                "configuration_confirmed", version=self.version, lost_ms=lost_ms
            )

    def _set_leader(self, is_leader):
        self.is_leader = is_leader
        self.poll_due.set()

    def observe(self, version):
        """Record a version known to another process; poll the store if it is newer."""
        if version > max(self.version, self.known_version):
            self.known_version = version
            self.poll_due.set()

    def apply_copy(self, value, revision):
        """Apply the stored form of a configuration received from another process."""
        watch = self.watch
        if self._apply(value, source="process") and watch.revision is not None:
            watch.revision = max(watch.revision, revision)

    async def _follow(self):
        while True:
            unknown = self.watch.revision is None
            sent_s = self.context.clock.boot_s()
            succeeded = await (self._load() if unknown else self._poll())
            if self.current is not None:
                if succeeded:
                    self.freshness.confirm(sent_s)
                    self.answered_s = self.context.clock.boot_s()
                self.check_proof()
            if not succeeded or self.current is None:
                await asyncio.sleep(RETRY_S)
            elif not self.is_leader:
                await self._pause()

    async def _pause(self):
        """Wait for the poll period, or until another process has a newer version."""
        period_s = POLL_PERIOD_S
        if self.revocation_s:
            period_s = min(period_s, POLL_SHARE * self.revocation_s)
        try:
            async with asyncio.timeout(period_s):
                await self.poll_due.wait()
        except TimeoutError:
            return
        self.poll_due.clear()
        if self.known_version > self.version and not self.is_leader:
            await asyncio.sleep(COPY_GRACE_S)

    async def _load(self) -> bool:
        """Read the configuration; return whether the call succeeded."""
        page = await self.watch.list()
        if page.is_err():
            return False
        for entry in page.ok().entries:
            if entry.key == CONFIGURATION_KEY:
                self._apply(entry.value, source="store")
        return True

    async def _poll(self) -> bool:
        """Read the changes since the last read; return whether the call succeeded."""
        watch = self.watch
        waits = self.is_leader and not self.proof_overdue
        batch = await (watch.follow() if waits else watch.poll())
        if batch.is_err():
            return False
        for change in batch.ok().changes:
            if change.key == CONFIGURATION_KEY and change.value is not None:
                self._apply(change.value, source="store")
        return True

    def _report_unreadable(self, value, reason):
        """Count an unreadable part, and log it once for each stored value."""
        self.context.metrics.count("records_unreadable_configuration")
        if value != self.unreadable_value:
            self.unreadable_value = value
            self.context.journal("configuration_unreadable", reason=reason)

    def _apply(self, value, *, source) -> bool:
        """Apply a stored configuration if it is newer; return whether it was newer."""
        reasons = []
        decoded = decode_configuration(value, report=reasons.append)
        if decoded.is_err():
            self._report_unreadable(value, decoded.err().detail)
            return False
        configuration = decoded.ok()
        if configuration.version <= self.version:
            return False
        for reason in reasons:
            self._report_unreadable(value, reason)
        self.context.journal(
            "configuration_applied",
            version=configuration.version,
            before=self.version,
            queues=len(configuration.queues),
            source=source,
        )
        self.current, self.value = configuration, value
        self.context.bus.publish(ConfigurationChanged(configuration=configuration))
        return True
