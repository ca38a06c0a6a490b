"""State machine of removed keys under cuts, suspensions, restarts and stale peers."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wasabipaddle.fuzz.machine import InvariantViolation
from wasabipaddle.fuzz.revocation import KEYS, RevocationCell, RevocationProcess

__all__ = ["RevocationMachine"]

NAMES = st.sampled_from(["p0", "p1", "p2"])
PEERS = st.sampled_from(["", "p0", "p1", "p2"])
SECONDS = st.sampled_from([0.3, 1.0, 2.5, 4.6, 9.0])


class RevocationMachine(RuleBasedStateMachine):
    """Changes keys, faults and messages in any order, and calls with every key.

    Attributes
    ----------
    process_type : type
        Class of the processes under test.
    """

    process_type = RevocationProcess

    def __init__(self):
        super().__init__()
        self.cell = RevocationCell(process_type=self.process_type)
        for name in self.cell.processes:
            self.poll(name)

    @invariant()
    def holds(self):
        """Call all processes; no key may be admitted too long after its removal."""
        for name in self.cell.processes:
            if not self.cell[name].suspended:
                self.call(name)
        if self.cell.violations:
            raise InvariantViolation(self.cell.violations[0])

    @rule(seconds=SECONDS)
    def advance(self, seconds):
        """Let time pass."""
        self.cell.now += seconds

    @rule(key=st.sampled_from(KEYS))
    def change_key(self, key):
        """Write a version without one of the keys, or with it again."""
        operator = self.cell.operator
        operator.write(operator.latest.keys ^ {key}, self.cell.now)

    @rule(name=NAMES)
    def poll(self, name):
        """Poll the store without a delay; a current key is admitted then."""
        process = self.cell[name]
        if process.store_cut or process.suspended:
            return
        self._exchange(process, "")
        for key in self.cell.operator.latest.keys:
            if not process.admit(key, self.cell.now):
                raise InvariantViolation(
                    f"{name} refuses {key} although it is in touch"
                )

    @rule(name=NAMES, peer=NAMES)
    def say_hello(self, name, peer):
        """Exchange a hello message with a peer without a delay."""
        if name != peer:
            self._exchange(self.cell[name], peer)

    def _exchange(self, process, peer):
        process.send(peer)
        process.answer()
        process.receive()

    @rule(name=NAMES, peer=PEERS)
    def send(self, name, peer):
        """Send a poll or a hello message that is answered later."""
        if name != peer:
            self.cell[name].send(peer)

    @rule(name=NAMES, received=st.booleans())
    def deliver(self, name, received):
        """Have the calls of a process answered, or deliver the answers to it."""
        process = self.cell[name]
        process.receive() if received else process.answer()

    @rule(name=NAMES, peer=PEERS, key=st.sampled_from(KEYS), seconds=SECONDS)
    def answer_late(self, name, peer, key, seconds):
        """Have a call answered at once, and change a key before the answer arrives."""
        self.send(name, peer)
        self.cell[name].answer()
        self.change_key(key)
        self.advance(seconds)
        self.cell[name].receive()

    @rule(name=NAMES, back=st.integers(0, 4))
    def copy(self, name, back):
        """Deliver a copy of one of the last versions, as from a stale peer."""
        versions = self.cell.operator.versions
        self.cell[name].take_copy(versions[max(len(versions) - 1 - back, 0)])

    @rule(name=NAMES, peers=st.booleans())
    def toggle_cut(self, name, peers):
        """Cut a process off from the store or from its peers, or end the cut."""
        if peers:
            self.cell[name].peers_cut ^= True
        else:
            self.cell[name].store_cut ^= True

    @rule(name=NAMES, seconds=SECONDS)
    def suspend(self, name, seconds):
        """Suspend a process for some seconds, in the middle of which callers call."""
        process = self.cell[name]
        process.suspend()
        self.cell.now += seconds / 2
        self.call(name)
        self.cell.now += seconds / 2
        process.resume()

    @rule(name=NAMES)
    def toggle_suspension(self, name):
        """Suspend a process, or resume it if it is suspended."""
        process = self.cell[name]
        process.resume() if process.suspended else process.suspend()

    @rule(name=NAMES, reboot=st.booleans())
    def restart(self, name, reboot):
        """Restart a process, alone or together with its VM."""
        process = self.cell[name]
        if not process.suspended:
            process.reboot() if reboot else process.start()

    def call(self, name):
        """Call a process with each key."""
        for key in KEYS:
            self.cell[name].call(key)
