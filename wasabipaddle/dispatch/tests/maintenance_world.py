"""Simulated cell with machines, for tests of waves of maintenance."""

import random

import attrs

from wasabipaddle.dispatch import StartOutcome, StartTask, StopTask
from wasabipaddle.dispatch.tests.conftest import Cell, FakeRunner, step
from wasabipaddle.interfaces import EndCause
from wasabipaddle.interfaces.machines import MaintenanceReply
from wasabipaddle.jobs.maintenance import Machine, MachineState, MaintenanceWave

TICK_S = 0.25
MAINTENANCE_S = 2.0
STARTUP_S = 0.4
# Time for which a task must be without work, for a cause other than a stop, to count.
NOTICE_S = 5.5
MAX_LATE_S = 8.0
TAKEOVER_PAUSE_S = 6.0
LEASE_S = 4.0


class WorkingRunner(FakeRunner):
    """Runner whose lasting tasks are at work a while after their start."""

    def __init__(self, cell, name, *, cpu=4000):
        super().__init__(cell, name, cpu=cpu)
        self.sick = False
        self.percent = 50
        self.starts_s = {}
        self.lease_until_s = cell.now + LEASE_S

    def expire(self):
        """End what runs if the lease is over."""
        if self.cell.now > self.lease_until_s:
            for task, run in list(self.running):
                self.end(task, run, EndCause.LEASE_EXPIRED)

    def at_work(self, key):
        started_s = self.starts_s.setdefault(key, self.cell.now)
        return not self.sick and self.cell.now - started_s >= STARTUP_S

    def _percent(self, row):
        lasts = not row.task.job.startswith("b")
        at_work = lasts and self.at_work((row.task, row.run))
        return 100 if at_work else self.percent

    def inventory(self, acknowledged):
        self.lease_until_s = self.cell.now + LEASE_S
        found = super().inventory(acknowledged)
        rows = tuple(attrs.evolve(r, percent=self._percent(r)) for r in found.running)
        return attrs.evolve(found, running=rows)


@attrs.define(kw_only=True)
class SimulatedMachine:
    """Machine of the simulated platform."""

    name: str
    rack: str
    runner: str = ""
    away_until_s: float = 0.0
    wave: int = 0
    gone: bool = False
    fence: int = 0


class World(Cell):
    """Cell whose runners live on machines, with the service and its faults.

    Attributes
    ----------
    violations : list of str
        Broken rules.
    """

    def __init__(self, *, machines, seed=0, faults=True):
        self.random = random.Random(seed)
        self.faults = faults
        self.machines, self.waves, self.done, self.confirmed = {}, {}, set(), set()
        self.late_calls, self.records, self.violations = [], {}, []
        self.stopped_s, self.idle_since_s, self.jobs = {}, {}, []
        self.epoch, self.calls = 1, []
        super().__init__(runners=0)
        for i in range(machines):
            name = f"m{i}"
            self.machines[name] = SimulatedMachine(name=name, rack=f"k{i // 3}")
            self._boot(self.machines[name])

    @property
    def maintenance(self):
        return self.scheduler.maintenance

    def add_runner(self, name, *, cpu=4000):
        self.runners[name] = WorkingRunner(self, name, cpu=cpu)
        self.scheduler.set_runner(self.entry(name), self.now).in_fleet_record = True
        self.read_inventories(name)

    def _boot(self, machine):
        life = machine.runner.partition(".")[2] or "0"
        machine.runner = f"{machine.name}.{int(life) + 1}"
        machine.away_until_s, machine.wave = 0.0, 0
        self.add_runner(machine.runner)

    def _end_runner(self, name):
        """End a runner with all that runs on it."""
        del self.runners[name]
        runner = self.state.runners.get(name)
        if runner is not None:
            runner.listed = False
            self.scheduler.runner_exited(runner, self.now)

    def restart(self, name):
        """Replace the runner of a machine by a new one."""
        self._end_runner(self.machines[name].runner)
        self._boot(self.machines[name])

    def request(self, number, machines, *, cap, duration_s=60.0):
        wave = MaintenanceWave(
            number=number, machines=tuple(machines), cap=cap, duration_s=duration_s
        )
        self.waves[number] = wave
        self.maintenance.set_wave(wave, self.now)

    def withdraw(self, number):
        del self.waves[number]
        self.maintenance.withdraw(number)

    def submit_lasting(self, job, count, allowance):
        spec = step(count, lasting=True, disruption_allowance=allowance)
        self.jobs.append(self.submit(job, spec).job)

    def submit_batch(self):
        """Submit a job of two tasks, a gang or with checkpoints at random."""
        spec = step(
            2,
            estimate_s=self.random.choice([1.0, 30.0]),
            gang=self.random.random() < 0.3,
            checkpoints=self.random.random() < 0.5,
        )
        self.jobs.append(self.submit(f"b{len(self.jobs):015x}", spec).job)

    def end_batch_run(self):
        """End a random run that does not last."""
        runs = [
            (runner, key)
            for runner in self.runners.values()
            for key in runner.running
            if key[0].job.startswith("b")
        ]
        if runs:
            runner, key = self.random.choice(runs)
            runner.end(*key)

    def list_machines(self):
        rows = []
        for machine in self.machines.values():
            away = machine.away_until_s > self.now
            state = MachineState.MAINTENANCE if away else MachineState.UP
            if not machine.gone:
                row = Machine(
                    id=machine.name,
                    pool="pool",
                    state=state,
                    rack=machine.rack,
                    runner="" if away else machine.runner,
                )
                rows.append(row)
        return tuple(rows)

    def tick(self):
        """Advance the world by one step."""
        self.now += TICK_S
        self._advance_platform()
        for runner in self.runners.values():
            runner.expire()
        self.scheduler.advance(self.now)
        self.read_inventories()
        if not self.faults or self.random.random() < 0.5:
            self.maintenance.record_list(self.list_machines(), self.now)
        self.maintenance.plan(self.now)
        self.check_completed()
        self._store()
        for operation in self.maintenance.take_calls(self.now):
            self.call(operation)
        self.plan()
        self.write()
        self._note_idle()

    def run(self, seconds):
        for _ in range(int(seconds / TICK_S)):
            self.tick()

    def _advance_platform(self):
        for machine in self.machines.values():
            if machine.away_until_s and self.now >= machine.away_until_s:
                self._boot(machine)
        due = [call for call in self.late_calls if call[0] <= self.now]
        for call in due:
            self.late_calls.remove(call)
            self._execute(*call[1:])

    def _store(self):
        for progress in self.maintenance.progress.values():
            if not progress.stored and (not self.faults or self.random.random() < 0.8):
                self.records[progress.number] = progress.to_record()
                progress.stored_version = progress.version

    def call(self, operation):
        """Call the service; the answer or the call may get lost, or come late."""
        key = (operation.wave, operation.machine)
        self.calls.append(key)
        if key in self.confirmed:
            self.violations.append(f"asked twice: {key}")
        draw = self.random.random() if self.faults else 1.0
        if draw < 0.1:
            self.maintenance.record_reply(operation, None, self.now)
            return
        if draw < 0.25:
            late_s = self.now + self.random.uniform(0.0, MAX_LATE_S)
            self.late_calls.append((late_s, *key, self.epoch))
        elif draw >= 0.35:
            reply = self._execute(*key, self.epoch)
            if draw >= 0.5:
                self._confirm(operation, key, reply)
                return
        self.maintenance.record_no_reply(operation, self.now)

    def _confirm(self, operation, key, reply):
        if reply is MaintenanceReply.ACCEPTED:
            self.confirmed.add(key)
        self.maintenance.record_reply(operation, reply, self.now)

    def _execute(self, wave, name, epoch):
        machine = self.machines[name]
        if machine.gone:
            return MaintenanceReply.INVALID
        if epoch < machine.fence:
            return MaintenanceReply.STALE_EPOCH
        machine.fence = epoch
        if (wave, name) in self.done:
            return MaintenanceReply.ACCEPTED
        if wave not in self.waves or name not in self.waves[wave].machines:
            return MaintenanceReply.NOT_IN_WAVE
        if machine.away_until_s > self.now:
            return MaintenanceReply.BUSY
        down = [m for m in self.machines.values() if m.wave == wave and m.away_until_s]
        if len(down) >= self.waves[wave].cap:
            self.violations.append(f"above the cap: {wave} {name}")
        for task, run in list(self.runners[machine.runner].running):
            self.violations.append(f"work lost on {name}: {task} {run}")
        self.done.add((wave, name))
        machine.away_until_s, machine.wave = self.now + MAINTENANCE_S, wave
        self._end_runner(machine.runner)
        return MaintenanceReply.ACCEPTED

    def check_completed(self):
        for progress in self.maintenance.progress.values():
            if progress.wave is None or not progress.completed:
                continue
            for name in progress.wave.machines:
                known = name in self.machines and not self.machines[name].gone
                if known and (progress.number, name) not in self.done:
                    self.violations.append(f"completed without {name}")

    def execute(self, order, *, answer=True):
        runner = order.run.runner if isinstance(order, StartTask) else order.runner
        if runner.id not in self.runners:
            self._lose_order(order)
            return
        if isinstance(order, StopTask):
            self._check_stop(order)
        super().execute(order, answer=answer)

    def _lose_order(self, order):
        """Lose an order to a runner that is gone."""
        if isinstance(order, StartTask):
            self.scheduler.replies.start_replied(
                order.run, StartOutcome.UNKNOWN, None, self.now
            )

    def _is_at_work(self, task):
        return any(
            runner.at_work(key)
            for runner in self.runners.values()
            for key in runner.running
            if key[0] == task
        )

    def _check_stop(self, order):
        """Check that a stop leaves enough tasks of its step at work."""
        fake = self.runners.get(order.runner.id)
        key = (order.task, order.number)
        found = self.scheduler.state.jobs[order.task.job].steps
        spec_step = found[(order.task.occurrence, order.task.step)]
        if fake is None or key not in fake.running or not fake.at_work(key):
            return
        if spec_step.spec.disruption_allowance < 0:
            return
        away = [t.id for t in spec_step.tasks if t.id != order.task and self._away(t)]
        if len(away) >= spec_step.spec.disruption_allowance:
            self.violations.append(f"too many away at {self.now}: {order.task} {away}")
        self.stopped_s[order.task] = self.now

    def _away(self, task):
        if self._is_at_work(task.id):
            return False
        if task.id in self.stopped_s:
            return True
        return self.now - self.idle_since_s.get(task.id, self.now) >= NOTICE_S

    def _note_idle(self):
        for entry in self.state.jobs.values():
            for task in (t for s in entry.steps.values() for t in s.tasks):
                if self._is_at_work(task.id):
                    self.idle_since_s.pop(task.id, None)
                    self.stopped_s.pop(task.id, None)
                else:
                    self.idle_since_s.setdefault(task.id, self.now)

    def fail_over(self):
        """Replace the dispatcher by one that knows only what is stored.

        It may repeat a call whose answer was not stored; that begins nothing anew.
        """
        self.epoch += 1
        self.confirmed = {
            (number, name)
            for number, record in self.records.items()
            for name in record.begun
        }
        progress = {
            e.id: self.scheduler.lifecycle.progress(e) for e in self.state.jobs.values()
        }
        self.take_over(self.epoch, progress, self.jobs)
        self.maintenance.calls_from_s = self.now + TAKEOVER_PAUSE_S
        for number, record in self.records.items():
            self.maintenance.restore(number, record, revision=1)
        for wave in self.waves.values():
            self.maintenance.set_wave(wave, self.now)
        for number in self.records.keys() - self.waves.keys():
            self.maintenance.withdraw(number)
