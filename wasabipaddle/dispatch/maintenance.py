"""Decision which machine of a wave has its maintenance next, and when."""

import collections
import math

from wasabipaddle.dispatch.drains import Drains
from wasabipaddle.dispatch.machine_choice import MachineChoice, WavePace, deadline_ms
from wasabipaddle.dispatch.machines import MachineView
from wasabipaddle.dispatch.machines_away import MachinesAway
from wasabipaddle.dispatch.operations import (
    Operation,
    OperationPhase,
    WaveProgress,
    WaveWaitReason,
)
from wasabipaddle.dispatch.orders import LATE_CALL_S
from wasabipaddle.dispatch.readiness import Readiness
from wasabipaddle.dispatch.wave_log import note_wave
from wasabipaddle.interfaces.machines import MaintenanceReply

__all__ = ["Maintenance"]

MS_PER_S = 1000
# Time after which a runner gets work again if the service is silent or refuses calls.
SILENCE_S = 10.0


class Maintenance:
    """Chooses the next machines of all waves, drains them and follows their progress.

    It counts every machine that is drained, may have been asked or is in maintenance
    against the `cap` of its waves, and asks for a machine only once its runner is
    empty and the store has the record of it.

    Parameters
    ----------
    state : CellState
        Shared state.
    lifecycle : Lifecycle
        Ends gangs.
    placement : Placement
        Knows which runners may run a step.

    Attributes
    ----------
    drains : Drains
        Frees runners.
    view : MachineView
        Machines by the latest list of the service.
    progress : dict of int to WaveProgress
        Waves by number.
    operations : dict of str to Operation
        Operations by machine; a machine has one at a time, whatever its waves.
    away : MachinesAway
        Tells which machines of a wave are away.
    choice : MachineChoice
        Chooses the next machines.
    readiness : Readiness
        Tells which machines may be called for.
    calls_from_s : float
        Time from which this dispatcher may call the service: the previous one may call
        it until then.
    answered_s : float
        Time of the latest answer to a call that was not refused because of its rate.
    """

    def __init__(self, *, state, lifecycle, placement):
        self.state = state
        self.drains = Drains(state=state, lifecycle=lifecycle, placement=placement)
        self.view = MachineView()
        self.progress = {}
        self.operations = {}
        self.calls_from_s = 0.0
        self.answered_s = -math.inf
        self.away = MachinesAway(view=self.view, operations=self.operations)
        self.readiness = Readiness(state=state, drains=self.drains, view=self.view)
        self.choice = MachineChoice(
            state=state,
            drains=self.drains,
            view=self.view,
            operations=self.operations,
        )

    @property
    def active(self) -> bool:
        """Whether there is a wave to go on with."""
        open_waves = any(not p.completed for p in self.progress.values())
        return bool(open_waves or self.operations)

    def restore(self, number, record, *, revision):
        """Continue a wave of the previous dispatcher from its stored record."""
        progress = WaveProgress(
            number=number,
            first_seen_ms=record.first_seen_ms,
            begun=dict.fromkeys(record.begun),
            absent=dict.fromkeys(record.absent),
            completed=record.completed,
            stored_version=1,
            revision=revision,
        )
        self.progress[number] = progress
        for machine, runner in record.asked.items():
            operation = Operation(
                machine=machine,
                runner=runner,
                wave=number,
                phase=OperationPhase.ASKED,
                asked_s=self.calls_from_s,
                doubtful_until_s=self.calls_from_s + LATE_CALL_S,
            )
            if self.operations.setdefault(machine, operation).wave == number:
                progress.asked[machine] = runner
        self._cordon()

    def set_wave(self, wave, now):
        """Apply the current request of a wave."""
        progress = self.progress.get(wave.number)
        if progress is None:
            progress = self.progress[wave.number] = WaveProgress(number=wave.number)
        if not progress.first_seen_ms:
            wall_s = now + self.state.wall_offset_s
            progress.first_seen_ms = max(int(wall_s * MS_PER_S), 1)
            progress.change()
        progress.withdrawn = False
        progress.wave = wave
        if progress.completed and progress.machines_left():
            progress.completed = False
            progress.change()

    def withdraw(self, number):
        """Record that the operator has removed the request of a wave."""
        progress = self.progress.get(number)
        if progress is not None:
            progress.wave = None
            progress.withdrawn = True

    def forget(self, number):
        """Remove a withdrawn wave whose record has been deleted."""
        self.progress.pop(number, None)

    def may_forget(self, progress) -> bool:
        """Return whether the record of a wave is not needed any more."""
        return progress.withdrawn and not self.away.operations_of(progress.number)

    def record_list(self, machines, requested_s):
        """Record a whole list of the machines."""
        wanted = set(self.operations)
        for progress in self.progress.values():
            if progress.wave is not None:
                wanted.update(progress.wave.machines)
        self.view.record(machines, requested_s, wanted=wanted)

    def plan(self, now):
        """Advance all waves, and drain the runners of their next machines."""
        for operation in list(self.operations.values()):
            self._follow_list(operation, now)
            if self.operations.get(operation.machine) is operation:
                self._release_unserved(operation, now)
        waves = [p for p in self.progress.values() if p.wave is not None]
        for progress in sorted(waves, key=deadline_ms):
            self._advance(progress, now)
        self._cordon()
        for operation in self.operations.values():
            runner = self.state.runners.get(operation.runner)
            if runner is not None and operation.phase is not OperationPhase.BEGUN:
                self.drains.advance(runner, operation.drain_until_s, now)

    def release(self, now):
        """End all operations that may end, for a dispatcher that makes no calls."""
        for operation in list(self.operations.values()):
            begun = operation.phase is OperationPhase.BEGUN
            if now >= operation.back_after_s if begun else not operation.may_begin(now):
                self._end(operation)
        self._cordon()

    def take_calls(self, now):
        """Return the operations to call the service for now, marked as called."""
        taken = []
        for operation in self.operations.values():
            if self._may_call(operation, now):
                operation.calling = True
                taken.append(operation)
        return taken

    def _may_call(self, operation, now):
        asked = operation.phase is OperationPhase.ASKED and not operation.calling
        if not asked or now < max(operation.next_call_s, self.calls_from_s):
            return False
        progress = self.progress.get(operation.wave)
        if progress is None or not progress.requests(operation.machine):
            return False
        # The record of another wave may still name the machine until it is stored.
        if not all(p.stored for p in self.progress.values() if p.wave is not None):
            return False
        if not self.readiness.is_ready(operation, now):
            return False
        others = self.away.count_others(progress, operation, now)
        return others < progress.wave.cap

    def cancel_call(self, operation):
        """Record that a call was not made after all."""
        operation.calling = False

    def record_reply(self, operation, reply, now):
        """Record the reply to a call.

        Parameters
        ----------
        reply : MaintenanceReply or None
            None if the service has certainly done nothing.
        """
        operation.calling = False
        if reply is not None:
            self.answered_s = now
        if reply is MaintenanceReply.ACCEPTED:
            self._begin(operation, now)
            return
        operation.back_off(now)
        refused = reply not in (None, MaintenanceReply.STALE_EPOCH)
        if refused and not operation.may_begin(now):
            self._release(operation, now)

    def record_no_reply(self, operation, now):
        """Record that a call was not answered: it may be carried out later."""
        operation.calling = False
        operation.doubtful_until_s = now + LATE_CALL_S
        operation.back_off(now)

    def _begin(self, operation, now):
        operation.phase = OperationPhase.BEGUN
        operation.back_after_s = now + self.state.timing.maintenance_s
        progress = self.progress.get(operation.wave)
        if progress is not None:
            progress.asked.pop(operation.machine, None)
            progress.begun[operation.machine] = None
            progress.change()

    def _follow_list(self, operation, now):
        """End an operation whose machine is back or gone, or has another runner."""
        name, view = operation.machine, self.view
        if operation.phase is OperationPhase.BEGUN:
            if view.listed_s >= operation.back_after_s and not view.is_away(name):
                self._end(operation)
        elif view.is_gone(name) and not operation.calling:
            self._end(operation)
        elif view.is_up(name) and view.machines[name].runner != operation.runner:
            self._follow_runner(operation, view.machines[name].runner, now)
        elif operation.phase is OperationPhase.DRAINING and not view.is_up(name):
            self._end(operation)

    def _follow_runner(self, operation, runner, now):
        """Go on with the new runner of a machine if a call may yet be carried out.

        Its work has to leave at once. Else the machine is chosen anew.
        """
        if not operation.may_begin(now):
            self._end(operation)
        elif runner:
            operation.runner, operation.quiet_since_s = runner, None
            operation.drain_until_s = now
            progress = self.progress.get(operation.wave)
            if progress is not None and operation.machine in progress.asked:
                progress.asked[operation.machine] = runner
                progress.change()

    def _release_unserved(self, operation, now):
        """End an operation that is not asked for, or not answered for, any more.

        A call without an answer may yet be carried out, so its machine stays empty for
        a while.
        """
        if operation.phase is OperationPhase.BEGUN or operation.may_begin(now):
            return
        progress = self.progress.get(operation.wave)
        if progress is None or not progress.requests(operation.machine):
            self._end(operation)
            return
        since_s = self.view.listed_s
        if operation.phase is OperationPhase.ASKED:
            since_s = min(since_s, operation.unanswered_since_s(self.answered_s))
        if now - since_s > SILENCE_S:
            self._release(operation, now, WaveWaitReason.SERVICE)

    def _release(self, operation, now, reason=WaveWaitReason.DRAIN):
        """Give up an operation for now."""
        self._log("maintenance_given_up", operation)
        self.choice.pause(operation.machine, now, reason)
        self._end(operation)

    def _log(self, event, operation):
        self.state.journal(
            event,
            wave=operation.wave,
            machine=operation.machine,
            runner=operation.runner,
        )

    def _end(self, operation):
        self.operations.pop(operation.machine, None)
        progress = self.progress.get(operation.wave)
        if progress is not None and operation.machine in progress.asked:
            del progress.asked[operation.machine]
            progress.change()

    def _cordon(self):
        """Keep new work from the runners of all operations."""
        self.drains.cordon(o.runner for o in self.operations.values() if o.runner)

    def _advance(self, progress, now):
        wave = progress.wave
        progress.note_absent(self.view)
        left = progress.machines_left()
        fresh = self.view.is_fresh(now)
        # An old list may lack a machine that is back by now.
        completed = not left and (progress.completed or fresh)
        if completed is not progress.completed:
            progress.completed = completed
            progress.change()
        if not left:
            progress.reason = (
                WaveWaitReason.NONE if completed else WaveWaitReason.SERVICE
            )
            progress.late = False
            return
        pace = WavePace(progress=progress, left=left, state=self.state, now=now)
        phases = [
            self._advance_operation(operation, progress, now)
            for operation in self.away.operations_of(wave.number)
        ]
        hindrances = [WaveWaitReason.SERVICE]
        if fresh:
            hindrances = self._begin_drains(progress, left, pace, now)
        reasons = collections.Counter(hindrances or phases or [WaveWaitReason.NONE])
        ((progress.reason, _),) = reasons.most_common(1)
        note_wave(self.state, progress, pace, left, now)

    def _advance_operation(self, operation, progress, now):
        """Ask for a machine that has been drained; return what it waits for."""
        if operation.phase is OperationPhase.BEGUN:
            return WaveWaitReason.MAINTENANCE
        away = self.away.operations_of(progress.number, progress.wave.machines)
        if len(away) > progress.wave.cap and not operation.may_begin(now):
            self._release(operation, now)
        elif operation.phase is OperationPhase.ASKED:
            return WaveWaitReason.CALL
        elif self.readiness.is_stuck(operation, now):
            self._release(operation, now)
        elif self.readiness.is_ready(operation, now):
            operation.phase = OperationPhase.ASKED
            operation.asked_s = max(now, self.calls_from_s)
            progress.asked[operation.machine] = operation.runner
            progress.change()
        return WaveWaitReason.DRAIN

    def _begin_drains(self, progress, left, pace, now):
        """Drain the next machines as long as the cap allows; return what hinders it."""
        wave = progress.wave
        away = self.away.list_claimed(progress)
        free = wave.cap - len(away)
        if free <= 0:
            return [] if away else [WaveWaitReason.CAP]
        chosen, reasons = self.choice.choose(progress, left, pace, now, count=free)
        for name in chosen:
            operation = self.operations[name] = Operation(
                machine=name,
                runner=self.view.machines[name].runner,
                wave=wave.number,
                drain_until_s=now + pace.drain_s,
            )
            self._log("maintenance_drain", operation)
        return reasons
