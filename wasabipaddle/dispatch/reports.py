"""Processing of the inventories of runners."""

from wasabipaddle.dispatch.model import RemovalReason, Run, RunPhase
from wasabipaddle.dispatch.orders import StopTask

__all__ = ["Reports"]

MS_PER_S = 1000
# Time for which ended runs of unknown tasks are not acknowledged, and runs of unknown
# jobs are not stopped, because the store watch that delivers the job may lag behind.
UNKNOWN_TASK_RETENTION_S = 3.0
# Longest time before its due time, by the wall clock of this process, at which another
# dispatcher may have started an occurrence.
MAX_WALL_CLOCK_LEAD_S = 10.0
# Progress that a run which lasts shows all the time while it is at work.
FULL_PERCENT = 100
# Difference from the estimated clock of a runner that is logged.
LOGGED_LAG_MS = 1000


class Reports:
    """Applies the reports of runners to the shared state.

    An end is the entry of an ended run in an inventory. A runner numbers its ends and
    lists each one until the dispatcher acknowledges its number.

    Parameters
    ----------
    state : CellState
        Shared state.
    lifecycle : Lifecycle
        Handles the ends of runs.
    acknowledgements : Acknowledgements
        Learns which ends a runner has forgotten.
    """

    def __init__(self, *, state, lifecycle, acknowledgements):
        self.state = state
        self.lifecycle = lifecycle
        self.acknowledgements = acknowledgements

    def process_inventory(
        self, runner, inventory, now, *, requested_s=None, acknowledged=0, epoch=0
    ):
        """Process an inventory; delayed ones of other incarnations are ignored.

        An incarnation usually has a higher number than those before it. One with a
        lower number, after a step of the wall clock, is known by an inventory that was
        requested after the other incarnation had answered.

        Parameters
        ----------
        requested_s : float or None
            Time at which the inventory was requested, None for `now`.
        acknowledged : int
            Number of the last end that the request acknowledged, 0 for none.
        epoch : int
            Epoch of the request.
        """
        requested_s = now if requested_s is None else requested_s
        before = runner.incarnation
        if inventory.incarnation != runner.incarnation:
            earlier = inventory.incarnation < runner.incarnation
            if earlier and requested_s <= runner.incarnation_s:
                return
            self.begin_incarnation(
                runner, inventory.incarnation, inventory.clock_ms, now
            )
        self.set_clock(runner, inventory.clock_ms, now, requested_s)
        self.acknowledgements.record_answer(
            runner, acknowledged, incarnation_before=before
        )
        self.acknowledgements.record_epoch(runner, epoch, inventory.clock_ms)
        if runner.doubted_s is not None and requested_s >= runner.doubted_s:
            runner.doubted_s = None
        runner.inventoried = True
        runner.exited = False
        runner.last_inventory_s = now
        runner.lists_all_ends = inventory.complete
        lists_unknown_tasks = self._take_ended(runner, inventory, now)
        listed = set()
        for row in inventory.running:
            listed.add((row.task, row.run))
            lists_unknown_tasks |= self._take_running(runner, row, inventory, now)
        if listed and runner.lease_until_ms <= inventory.clock_ms:
            # Somebody else has extended the lease.
            runner.inventory_lease_until_ms = self._latest_lease_ms(inventory.clock_ms)
        runner.lists_unknown_tasks = lists_unknown_tasks
        if not lists_unknown_tasks:
            runner.unknown_tasks_since_s = 0.0
        if runner.id in self.state.suspects:
            whole = inventory.complete and not lists_unknown_tasks
            self._check_suspect(runner, whole, now, requested_s)
        self._remove_missing(runner, listed, inventory, now, requested_s, epoch)

    def _check_suspect(self, runner, whole, now, requested_s):
        """Clear a suspect runner once all its runs and ends are known.

        A run that ends between the moments at which the runner lists running and ended
        runs is in neither list, so two whole inventories in a row are needed. A runner
        that goes on to answer stays suspect until then, even if its leases end.
        """
        first_s = runner.whole_list_s
        if whole and first_s is not None and requested_s >= first_s:
            del self.state.suspects[runner.id]
            runner.whole_list_s = None
            return
        runner.whole_list_s = (first_s or now) if whole else None
        until_s = now + self.state.timing.lease_s
        self.state.suspects[runner.id] = max(self.state.suspects[runner.id], until_s)

    def _remove_missing(self, runner, listed, inventory, now, requested_s, epoch):
        """Remove the runs that an inventory proves to be gone, or not to begin.

        An inventory without a run proves something only if it lists all ended runs and
        was requested after the run or its stop was confirmed: an earlier request may
        have been answered from the time before. A start without a reply must be void
        by then, or refused, as its epoch is lower than that of the request. A run may
        also end between the moments at which the runner lists running and ended runs,
        so it must be missing twice.
        """
        for run in list(runner.runs.values()):
            if run.key in listed:
                run.missing = False
            elif inventory.complete and self._may_be_gone(
                run, inventory, requested_s, epoch
            ):
                if run.missing:
                    self.lifecycle.remove_run(run, now, reason=RemovalReason.MISSING)
                run.missing = True
            elif inventory.complete and _has_only_been_stopped(run):
                # For a run without a sign, an earlier request counts as the first list.
                run.missing |= inventory.clock_ms > run.confirmed_ms

    def _latest_lease_ms(self, clock_ms):
        """Return the latest time at which a lease granted until now may end."""
        return clock_ms + int(self.state.timing.lease_max_s * MS_PER_S)

    def set_clock(self, runner, clock_ms, now, sent_s):
        """Record a clock reading of a runner; log a large correction or lag."""
        if not runner.fits_clock(clock_ms, now, sent_s=sent_s):
            runner.doubted_s = now
        lag_ms = runner.estimate_clock_ms(now) - clock_ms
        age_s, is_first = now - runner.clock_s, not runner.clock_ms
        used = runner.set_clock(clock_ms, now, sent_s=sent_s)
        if clock_ms and not is_first and lag_ms > LOGGED_LAG_MS:
            self.state.journal(
                "clock_set_back" if used else "clock_reading_ignored",
                runner=runner.id,
                lag_ms=lag_ms,
                reading_age_ms=int(age_s * MS_PER_S),
            )

    def begin_incarnation(self, runner, incarnation, clock_ms, now):
        """Discard the runs and end numbers of the previous incarnation of a runner.

        Runs that the previous incarnation has not listed are kept, since the new one
        may have begun them: replies to orders name no incarnation. Those that were to
        be stopped are stopped again.
        """
        reborn = bool(runner.incarnation)
        if reborn:
            self.state.journal(
                "runner_reborn",
                runner=runner.id,
                runs=len(runner.runs),
                listed=sum(run.listed for run in runner.runs.values()),
                acknowledged=runner.acknowledged,
            )
        runner.incarnation = incarnation
        runner.incarnation_s = now
        runner.whole_list_s = None
        for run in list(runner.runs.values()):
            if run.listed:
                reason = RemovalReason.NEW_INCARNATION
                self.lifecycle.remove_run(run, now, reason=reason)
                continue
            if run.confirmed_ms:
                run.doubt_incarnation(clock_ms)
            if run.phase in (RunPhase.DOUBTFUL, RunPhase.STOPPING):
                self.state.stop_run(run, now)
        runner.processed_end = runner.acknowledged = 0
        runner.pending_acknowledgements.clear()
        runner.clock_ms = 0
        # The previous dispatcher may have extended the lease just before. An order with
        # a time on the clock of the previous incarnation grants the longest lease.
        until_ms = clock_ms + int(self.state.timing.lease_s * MS_PER_S)
        runner.inventory_lease_until_ms = (
            self._latest_lease_ms(clock_ms) if reborn else until_ms
        )
        runner.start_lease_until_ms = 0
        if reborn:
            self.acknowledgements.begin_incarnation(runner, now)

    def _take_ended(self, runner, inventory, now):
        """Process new ends in order of their numbers.

        Returns whether ends remain unprocessed, because the task of the first of them
        is not known yet.
        """
        durable, jobs = True, set()
        before = runner.processed_end
        for ended in sorted(inventory.ended, key=lambda e: e.number):
            if ended.number <= runner.forgotten_end:
                # The acknowledgement had no effect, so it has to be sent again.
                runner.forgotten_end = 0
            if ended.number <= runner.processed_end:
                continue
            task = self._find_task(ended.task)
            if task is None:
                if self._is_due_soon(ended.task, now):
                    break
                if not self._unknown_task_wait_expired(runner, now):
                    break
                runner.processed_end = ended.number
                continue
            runner.processed_end = ended.number
            if ended.checkpoint:
                self._save_checkpoint(task, ended.checkpoint)
            run = runner.runs.get((ended.task, ended.run))
            elapsed = (
                now - run.started_s if run and not run.excluded_from_timing else None
            )
            if run in task.runs:
                task.runs.remove(run)
            self.lifecycle.record_run_end(
                task, ended.run, ended.cause, runner, now, elapsed_s=elapsed
            )
            durable &= self.state.is_durable(task.step.job)
            jobs.add(task.id.job)
            self.state.journal(
                "run_ended",
                job=task.id.job,
                task=task.id[1:],
                run=ended.run,
                runner=runner.id,
                cause=ended.cause.value,
                elapsed_ms=int(elapsed * MS_PER_S) if elapsed else None,
            )
            if run is not None:
                self.lifecycle.remove_run(run, now)
        if runner.processed_end > before:
            if durable and not runner.pending_acknowledgements:
                runner.acknowledged = runner.processed_end
            else:
                generation = self.state.generation
                runner.pending_acknowledgements.append(
                    (generation, runner.processed_end, frozenset(jobs))
                )
        return any(e.number > runner.processed_end for e in inventory.ended)

    def _unknown_task_wait_expired(self, runner, now):
        """Return whether the wait for unknown tasks is over; begin it if necessary."""
        if not runner.unknown_tasks_since_s:
            runner.unknown_tasks_since_s = now
        return now - runner.unknown_tasks_since_s > UNKNOWN_TASK_RETENTION_S

    def _is_due_soon(self, task_id, now):
        """Return whether a task becomes known when its occurrence is due.

        A dispatcher whose wall clock was ahead may have started it before.
        """
        next_occurrence = self.state.scheduled.get(task_id.job)
        if next_occurrence is None or task_id.occurrence < next_occurrence:
            return False
        spec = self.state.jobs[task_id.job].job.spec
        due_ms = spec.first_due_ms + task_id.occurrence * spec.interval_ms
        lead_s = due_ms / MS_PER_S - (now + self.state.wall_offset_s)
        return task_id.occurrence < spec.occurrences and lead_s < MAX_WALL_CLOCK_LEAD_S

    def _find_task(self, task_id):
        entry = self.state.jobs.get(task_id.job)
        if entry is None:
            return None
        step = entry.steps.get((task_id.occurrence, task_id.step))
        if step is None or task_id.index >= len(step.tasks):
            return None
        return step.tasks[task_id.index]

    def _save_checkpoint(self, task, checkpoint):
        members = task.step.tasks if task.step.spec.gang else [task]
        for member in members:
            member.checkpoint = checkpoint

    def _take_running(self, runner, row, inventory, now):
        """Update or adopt a reported run; return whether its task is unknown."""
        run = runner.runs.get((row.task, row.run))
        if run is None:
            return self._adopt(runner, row, inventory, now)
        if run.phase in (RunPhase.DOUBTFUL, RunPhase.STARTING):
            stopped = run.stop_sent_s > 0
            run.phase = RunPhase.STOPPING if stopped else RunPhase.RUNNING
        run.confirm(inventory.clock_ms, now)
        run.listed = True
        if row.percent != run.percent or not run.progress_s:
            run.percent = row.percent
            run.progress_s = now
        run.load = row.load
        if run.task.spec.lasting and run.percent == FULL_PERCENT:
            runner.health.record_work(run.started_s, run.progress_s, now)
        if row.checkpoint:
            self._save_checkpoint(run.task, row.checkpoint)
        return False

    def _adopt(self, runner, row, inventory, now):
        """Add a run found on a runner; return whether its task is unknown.

        The run is stopped if its task needs no run, or has another run and is not
        speculative. A run of an unknown job is stopped after
        `UNKNOWN_TASK_RETENTION_S`, a run of an unknown task of a known job at once,
        unless its occurrence is due soon.
        """
        task = self._find_task(row.task)
        if task is None:
            if self._is_due_soon(row.task, now):
                return True
            known = self.state.jobs.get(row.task.job)
            if known is None and not self._unknown_task_wait_expired(runner, now):
                return True
            order = StopTask(runner=runner, task=row.task, number=row.run)
            self.state.outbox.append(order)
            return True
        run = Run(
            task=task,
            number=row.run,
            runner=runner,
            phase=RunPhase.RUNNING,
            started_s=now,
            confirmed_ms=inventory.clock_ms,
            confirmed_s=now,
            listed=True,
            percent=row.percent,
            progress_s=now,
            load=row.load,
            # Its start time is unknown, so its duration is not comparable to others.
            excluded_from_timing=True,
        )
        task.last_run = max(task.last_run, row.run)
        self.state.add_run(run)
        entry = task.step.job
        entry.started = True
        if row.checkpoint:
            self._save_checkpoint(task, row.checkpoint)
        others = len(task.runs) > 1 and not task.spec.speculative
        if task.completed or entry.phase.final or others or not task.step.opened:
            self.state.stop_run(run, now)
        return False

    def _may_be_gone(self, run, inventory, requested_s, epoch):
        """Return whether an inventory is later than the last sign of a missing run."""
        if run.confirmed_ms:
            later = inventory.clock_ms > run.confirmed_ms
            return later and requested_s >= run.confirmed_s
        if run.phase is RunPhase.STARTING:
            return False
        refused = epoch > run.start_epoch > 0
        return refused or run.runner.least_clock_ms(requested_s) > run.start_before_ms

    def record_write(self, jobs, generation):
        """Record a write of progress and acknowledge the ends that it made durable.

        Parameters
        ----------
        jobs : list of tuple of (JobEntry, JobPhase)
            Jobs and the states that were written.
        generation : int
            Generation up to which all progress is durable, 0 after a partial write.
        """
        self.state.written_generation = max(self.state.written_generation, generation)
        for entry, phase in jobs:
            entry.durable_phase = phase
            if self.state.is_durable(entry):
                entry.durable_pools = set(entry.pools)
        for runner in self.state.runners.values():
            while (
                runner.pending_acknowledgements
                and runner.pending_acknowledgements[0][0] <= generation
            ):
                runner.acknowledged = max(
                    runner.acknowledged, runner.pending_acknowledgements.pop(0)[1]
                )


def _has_only_been_stopped(run):
    """Return whether the reply to a stop is all that is known of a run."""
    return not run.seen and run.stop_sent_s > 0 and run.confirmed_ms > 0
