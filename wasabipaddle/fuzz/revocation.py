"""Model of a cell whose processes admit calls by keys that an operator removes."""

import itertools

import attrs

from wasabipaddle.cell.configuration import ConfigurationPlugin
from wasabipaddle.cell.entry import EntryPlugin
from wasabipaddle.clock import Clock
from wasabipaddle.jobs import CellConfiguration, Queue, Workspace
from wasabipaddle.kernel import Context
from wasabipaddle.messages.jobs import HelloReply
from wasabipaddle.platform.client import encode_configuration
from wasabipaddle.settings import CellBounds, CellSettings, PlatformAddresses

__all__ = ["BOUND_S", "KEYS", "Operator", "RevocationCell", "RevocationProcess"]

BOUND_S = 5.0
KEYS = ("k0", "k1", "k2", "k3", "k4", "k5")
QUEUE = Queue(name="q", host="h", prefix="/q/", pool="p")


class VmClock(Clock):
    """Clocks of one VM, whose steady clock stands still while it is suspended.

    Parameters
    ----------
    cell : RevocationCell
        Provides the true time.
    origin_s : float
        True time at which the VM was booted.
    """

    def __init__(self, *, cell, origin_s):
        self.cell = cell
        self.origin_s = origin_s
        self.suspended_s = 0.0

    def now(self):
        """Return the steady time in seconds."""
        return self.boot_s() - self.suspended_s

    def boot_s(self):
        """Return the time since boot in seconds."""
        return self.cell.now - self.origin_s

    def wall_ms(self):
        """Return the true time in milliseconds."""
        return int(self.cell.now * 1000)


@attrs.define(kw_only=True)
class PendingCall:
    """Call of a process to the store or to a peer.

    Parameters
    ----------
    sent_s : float
        Boot time at which the process sent the call.
    peer : str
        Name of the peer, empty for the store.
    answer : object
        What the callee said, None before that.
    """

    sent_s: float
    peer: str = ""
    answer: object = None


class RevocationProcess:
    """Configuration and admission of one process, with the calls it has sent.

    Parameters
    ----------
    cell : RevocationCell
        Store, peers and time.
    origin_s : float
        True time at which the VM of the process was booted.
    """

    plugin_type = ConfigurationPlugin

    def __init__(self, *, cell, name, origin_s):
        self.cell = cell
        self.name = name
        self.store_cut = self.peers_cut = False
        self.suspended_at_s = None
        self.arrived = []
        self.clock = VmClock(cell=cell, origin_s=origin_s)
        self.start()

    def start(self):
        """Start the process with nothing in memory."""
        settings = CellSettings(
            process=self.name,
            data_centre="a",
            region="r",
            callers="127.0.0.1:1",
            readiness="127.0.0.1:2",
            internal="127.0.0.1:3",
            platform=PlatformAddresses(store="127.0.0.1:4"),
            bounds=CellBounds(revocation_s=BOUND_S),
        )
        context = Context.create(
            settings=settings, clock=self.clock, process=self.name, seed=1
        )
        self.configuration = self.plugin_type(context=context)
        self.entry = EntryPlugin(context=context)
        self.entry.configuration = self.configuration
        self.pending = []

    @property
    def suspended(self) -> bool:
        """Whether the process stands still."""
        return self.suspended_at_s is not None

    def reboot(self):
        """Start the process anew on a VM whose clocks begin again."""
        self.clock.origin_s = self.cell.now
        self.clock.suspended_s = 0.0
        self.start()

    def is_cut(self, peer) -> bool:
        """Return whether calls do not reach a peer, or the store if it is empty."""
        if not peer:
            return self.store_cut
        return self.peers_cut or self.cell[peer].peers_cut

    def send(self, peer=""):
        """Send a call to the store or to a peer."""
        if not self.is_cut(peer) and not self.suspended:
            call = PendingCall(sent_s=self.clock.boot_s(), peer=peer)
            self.pending.append(call)

    def answer(self):
        """Have the callees of the calls that have arrived answer them."""
        for call in self.pending:
            if call.answer is not None or self.is_cut(call.peer):
                continue
            if not call.peer:
                call.answer = self.cell.operator.latest
            elif not self.cell[call.peer].suspended:
                call.answer = self.cell[call.peer].reply()

    def reply(self) -> HelloReply:
        """Return the reply to a hello message of another process."""
        return HelloReply(
            configuration=self.configuration.version,
            configuration_age_s=self.configuration.state_proof_age(),
        )

    def receive(self):
        """Process the answers that have arrived."""
        if self.suspended:
            return
        answered = [call for call in self.pending if call.answer is not None]
        self.pending = [call for call in self.pending if call.answer is None]
        for call in answered:
            if call.peer:
                self.configuration.confirm_by_peer(call.sent_s, call.answer)
            else:
                self.configuration._apply(call.answer.value, source="store")
                self.confirm(call.sent_s)

    def confirm(self, sent_s):
        """Record the proof of a call to the store."""
        self.configuration.freshness.confirm(sent_s)

    def take_copy(self, version):
        """Receive a copy of a version, however old."""
        if not self.suspended:
            self.configuration._apply(version.value, source="process")

    def suspend(self):
        """Stand still; calls of callers wait in the sockets."""
        if not self.suspended:
            self.suspended_at_s = self.cell.now

    def resume(self):
        """Go on, and admit or refuse the calls that have arrived."""
        if self.suspended:
            self.clock.suspended_s += self.cell.now - self.suspended_at_s
            self.suspended_at_s = None
            for key, sent_s in self.arrived:
                self.admit(key, sent_s)
            self.arrived = []

    def call(self, key):
        """Receive a call that is sent now."""
        if self.suspended:
            self.arrived.append((key, self.cell.now))
        else:
            self.admit(key, self.cell.now)

    def admit(self, key, sent_s):
        """Admit or refuse a call; record an admission that breaks the bound."""
        if self.configuration.current is None:
            return False
        admitted = self.entry.identify(QUEUE, key).is_ok()
        if admitted and self.cell.operator.is_removed(key, sent_s - BOUND_S):
            self.cell.violations.append(f"{self.name} admits {key} sent at {sent_s}")
        return admitted


@attrs.frozen(kw_only=True)
class StoredVersion:
    """One version of the configuration, and the true time of its acknowledgement."""

    keys: frozenset[str]
    value: bytes
    acknowledged_s: float


class Operator:
    """Writes versions of the configuration that differ in their keys."""

    def __init__(self):
        self.versions = []

    @property
    def latest(self) -> StoredVersion:
        """Version in the store."""
        return self.versions[-1]

    def write(self, keys, now_s):
        """Store the next version."""
        configuration = CellConfiguration(
            version=len(self.versions) + 1,
            queues=(QUEUE,),
            workspaces={"w": Workspace(name="w")},
        )
        _, value = encode_configuration(configuration, keys={"w": sorted(keys)})
        version = StoredVersion(keys=frozenset(keys), value=value, acknowledged_s=now_s)
        self.versions.append(version)

    def is_removed(self, key, time_s) -> bool:
        """Return whether a key was removed before a true time, and not added again."""
        newest_first = reversed(self.versions)
        without = list(itertools.takewhile(lambda v: key not in v.keys, newest_first))
        return bool(without) and without[-1].acknowledged_s < time_s


class RevocationCell:
    """Three processes, the store and the operator.

    Attributes
    ----------
    now : float
        True time in seconds.
    violations : list of str
        Calls that were admitted with a key removed longer ago than the bound.
    """

    def __init__(self, *, process_type=RevocationProcess):
        self.now = 1000.0
        self.violations = []
        self.operator = Operator()
        self.operator.write(KEYS, self.now)
        self.processes = {
            name: process_type(cell=self, name=name, origin_s=origin_s)
            for name, origin_s in (("p0", 900.0), ("p1", -5000.0), ("p2", 0.0))
        }

    def __getitem__(self, name):
        return self.processes[name]
