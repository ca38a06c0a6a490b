"""Life cycle of jobs: opening of steps, results of runs, final states."""

from wasabipaddle.dispatch.model import JobEntry, RunPhase, Step, Task
from wasabipaddle.dispatch.objective import measure_objective_s
from wasabipaddle.interfaces import EndCause
from wasabipaddle.jobs import JobPhase, JobProgress, TaskId
from wasabipaddle.jobs.records import GANG_INDEX

__all__ = ["Lifecycle"]

MS_PER_S = 1000


class Lifecycle:
    """Applies requests of callers and reports of runners to jobs.

    Parameters
    ----------
    state : CellState
        Shared state.
    """

    def __init__(self, *, state):
        self.state = state

    def add_job(self, job, now, *, progress=None, recovered=False):
        """Add an accepted job and return its entry; a known job is left unchanged.

        Parameters
        ----------
        progress : JobProgress or None
            Stored progress of the job.
        recovered : bool
            Whether the job was accepted before this dispatcher took over.
        """
        state = self.state
        if job.id in state.jobs:
            return state.jobs[job.id]
        if progress is not None:
            progress = progress.restrict(job.spec)
        queue = state.configuration.queue(job.policy.name) or job.policy
        accepted_s = min(job.accepted_ms / MS_PER_S - state.wall_offset_s, now)
        entry = JobEntry(
            job=job, queue=queue, recovered=recovered, accepted_s=accepted_s
        )
        limit = state.quotas.limits.get(job.workspace)
        entry.objective_s = measure_objective_s(
            queue,
            job.spec,
            room=state.order.pool_room(queue.pool),
            quota=limit.cpu if limit is not None else 0,
        )
        entry.due_s = accepted_s + entry.objective_s
        state.jobs[job.id] = entry
        state.shares.add_job(entry)
        if progress is not None:
            entry.phase = entry.durable_phase = progress.phase
            entry.ended_ms = progress.ended_ms
            entry.started = bool(progress.completed or progress.failures)
        if entry.phase.final:
            # Runners may still report runs of the job, which hold capacity until they
            # end, so its tasks must be known.
            for occurrence in range(job.spec.occurrences):
                self._add_occurrence(entry, occurrence, now)
            return entry
        state.unfinished[job.id] = entry
        if job.spec.scheduled:
            state.scheduled[job.id] = 0
            self.open_due(now)
        else:
            self._add_occurrence(entry, 0, now)
        if progress is not None:
            self._restore(entry, progress, now)
            entry.pools.update(progress.pools)
            entry.durable_pools.update(progress.pools)
        self.note_pool(entry)
        return entry

    def note_pool(self, entry):
        """Have the pool to which a job is sent stored before tasks start in it."""
        pool = entry.queue.pool
        if pool != entry.job.policy.pool and pool not in entry.pools:
            entry.pools.add(pool)
            self._note_recovered(entry)
            self.state.mark_dirty(entry)

    def open_due(self, now):
        """Add the due occurrences of scheduled jobs."""
        wall_ms = (now + self.state.wall_offset_s) * MS_PER_S
        for job_id, occurrence in list(self.state.scheduled.items()):
            entry = self.state.jobs[job_id]
            spec = entry.job.spec
            while (
                occurrence < spec.occurrences
                and not entry.phase.final
                and spec.first_due_ms + occurrence * spec.interval_ms <= wall_ms
            ):
                self._add_occurrence(entry, occurrence, now)
                occurrence += 1
            self.state.scheduled[job_id] = occurrence
            if occurrence >= spec.occurrences or entry.phase.final:
                del self.state.scheduled[job_id]

    def _note_recovered(self, entry):
        """Have the bound of unknown runs computed again if the job may have some."""
        if entry.recovered:
            self.state.quotas.jobs_changed()

    def _add_occurrence(self, entry, occurrence, now):
        self._note_recovered(entry)
        for position, spec in enumerate(entry.job.spec.steps):
            step = Step(
                job=entry,
                occurrence=occurrence,
                position=position,
                spec=spec,
                remaining=spec.count,
            )
            step.tasks = [
                Task(
                    id=TaskId(entry.id, occurrence, position, index),
                    step=step,
                    last_run=self.state.run_number_base,
                )
                for index in range(spec.count)
            ]
            entry.steps[(occurrence, position)] = step
        if not entry.phase.final:
            self._open_steps(entry, occurrence, now)

    def _open_steps(self, entry, occurrence, now):
        for position, spec in enumerate(entry.job.spec.steps):
            step = entry.steps[(occurrence, position)]
            if step.opened:
                continue
            predecessors = (entry.steps[(occurrence, n)] for n in spec.after)
            if all(s.remaining == 0 for s in predecessors):
                step.opened = True
                for task in step.tasks:
                    if not task.completed and not task.runs:
                        self.state.queue_task(task, now)

    def _restore(self, entry, progress, now):
        """Apply stored progress to a job that was just added."""
        for key, indexes in progress.completed.items():
            occurrence, position = map(int, key.split("."))
            while (occurrence, position) not in entry.steps:
                self._add_occurrence(entry, self.state.scheduled.get(entry.id, 0), now)
                self.state.scheduled[entry.id] += 1
            for index in indexes:
                self._complete(entry.steps[(occurrence, position)].tasks[index], now)
        for key, numbers in progress.failures.items():
            occurrence, position, index = key.split(".")
            step = entry.steps.get((int(occurrence), int(position)))
            if step is None:
                continue
            if index == GANG_INDEX:
                step.gang_failures.update(numbers)
            else:
                step.tasks[int(index)].failed_runs.update(numbers)
        if not entry.phase.final:
            self.state.dirty.pop(entry.id, None)

    def progress(self, entry) -> JobProgress:
        """Return the progress of a job to be stored."""
        completed, failures = {}, {}
        for (occurrence, position), step in entry.steps.items():
            done = [t.id.index for t in step.tasks if t.completed]
            if done and not entry.phase.final:
                completed[f"{occurrence}.{position}"] = done
            for task in step.tasks:
                if task.failed_runs and not step.spec.lasting:
                    key = f"{occurrence}.{position}.{task.id.index}"
                    failures[key] = sorted(task.failed_runs)
            if step.gang_failures:
                key = f"{occurrence}.{position}.{GANG_INDEX}"
                failures[key] = sorted(step.gang_failures)
        return JobProgress(
            phase=entry.phase,
            completed=completed,
            failures=failures,
            ended_ms=entry.ended_ms,
            pools=sorted(entry.pools),
        )

    def cancel(self, job_id, now):
        """Cancel a job in memory; the caller has stored the cancellation."""
        entry = self.state.jobs.get(job_id)
        if entry is not None and not entry.phase.final:
            self._finish(entry, JobPhase.CANCELLED, now)

    def record_run_end(self, task, number, cause, runner, now, *, elapsed_s=None):
        """Record the end of a run that a runner has reported.

        Parameters
        ----------
        number : int
            Number of the run.
        elapsed_s : float or None
            Duration of the run, None if it cannot be compared with others.
        """
        step, entry = task.step, task.step.job
        task.last_run = max(task.last_run, number)
        if entry.phase.final:
            return
        if cause is EndCause.COMPLETED:
            if task.completed:
                return
            speed = None
            if elapsed_s and not task.checkpoint:
                speed = step.record_duration(elapsed_s, runner.health.speed)
                self.state.durations.record(step, elapsed_s)
                members = len(step.tasks) if step.spec.gang else 1
                entry.work_done += members * task.spec.cpu * elapsed_s
            slowed = runner.health.normal_speed is not None
            runner.health.record_completion(speed, now)
            if slowed and runner.health.normal_speed is None:
                self.state.journal("runner_at_usual_speed", runner=runner.id)
            if speed is not None:
                self.state.speeds.record(runner, speed)
            tasks = step.tasks if step.spec.gang else [task]
            for member in tasks:
                self._complete(member, now)
        elif cause is EndCause.FAILED:
            self._record_failure(task, number, runner, now)
        elif step.spec.gang and cause is not EndCause.STOPPED and entry.started:
            self.break_gang(step, number, now)

    def _record_failure(self, task, number, runner, now):
        step, entry = task.step, task.step.job
        task.avoided.add(runner.id)
        # Failures of a step that also fails elsewhere are not held against the runner.
        if not (step.failed_on - {runner.id}) and runner.health.record_failure(now):
            self.state.journal("runner_quarantined", runner=runner.id)
        step.failed_on.add(runner.id)
        if step.spec.gang:
            step.gang_failures.add(number)
            self.break_gang(step, number, now)
        task.failed_runs.add(number)
        if step.spec.lasting or task.completed:
            return
        failed = step.gang_failures if step.spec.gang else task.failed_runs
        if len(failed) >= entry.queue.max_attempts and not entry.phase.final:
            self._finish(entry, JobPhase.FAILED, now)
        self.state.mark_dirty(entry)

    def break_gang(self, step, number, now):
        """Stop the runs of a gang under one run number.

        The members of a gang cannot continue without each other.
        """
        for task in step.tasks:
            for run in task.runs:
                if run.number == number and run.phase is not RunPhase.STOPPING:
                    self.state.stop_run(run, now)

    def remove_run(self, run, now, *, reason=None):
        """Remove a run that no longer exists and requeue its task if necessary.

        Parameters
        ----------
        reason : RemovalReason or None
            Why the run cannot exist any more although the runner has not listed its
            end; None if it has.
        """
        self.state.discard_run(run)
        task = run.task
        task.has_run |= run.seen
        if reason is not None:
            self.state.journal(
                "run_removed",
                job=task.id.job,
                task=task.id[1:],
                run=run.number,
                runner=run.runner.id,
                phase=run.phase.value,
                listed=run.listed,
                reason=reason.value,
                inventory_age_ms=int((now - run.runner.last_inventory_s) * MS_PER_S),
                lease_left_ms=run.runner.lease_left_ms(now),
            )
        active = not task.completed and not task.step.job.phase.final
        if active and not task.runs and task.step.opened:
            self.state.queue_task(task, now)

    def _complete(self, task, now):
        if task.completed:
            return
        step, entry = task.step, task.step.job
        task.completed = True
        step.remaining -= 1
        self.state.unqueue_task(task)
        self.state.mark_dirty(entry)
        if not step.spec.gang:
            for run in task.runs:
                if run.phase is not RunPhase.STOPPING:
                    self.state.stop_run(run, now)
        if step.remaining or entry.phase.final:
            return
        self._open_steps(entry, step.occurrence, now)
        complete = all(s.remaining == 0 for s in entry.steps.values())
        if complete and len(entry.steps) == self._step_count(entry):
            self._finish(entry, JobPhase.COMPLETED, now)

    def _step_count(self, entry):
        return len(entry.job.spec.steps) * entry.job.spec.occurrences

    def _finish(self, entry, phase, now):
        entry.phase = phase
        self.state.unfinished.pop(entry.id, None)
        entry.ended_ms = int((now + self.state.wall_offset_s) * MS_PER_S)
        self.state.mark_dirty(entry)
        self.state.journal(
            "job_ended",
            job=entry.id,
            phase=phase.value,
            age_ms=int((now - entry.accepted_s) * MS_PER_S),
            objective_ms=int((entry.due_s - entry.accepted_s) * MS_PER_S),
        )
        for step in entry.steps.values():
            self.state.ready.pop(step.key, None)
            step.pending.clear()
            if phase is JobPhase.COMPLETED:
                continue
            for task in step.tasks:
                for run in task.runs:
                    if run.phase is not RunPhase.STOPPING:
                        self.state.stop_run(run, now)
