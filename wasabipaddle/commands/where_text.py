"""Readable text of the answer where a job would go."""

from wasabipaddle.messages.placement import WaitReason

__all__ = ["as_text"]

ROW = "    {:20} {:>7} {:>6} {:>9}  {}"
WAITS = {
    WaitReason.QUOTA: "the quota of the workspace leaves no room",
    WaitReason.ADVICE: "the eligibility service is asked first",
    WaitReason.ROOM: "no runner that may get work has room",
    WaitReason.REPLIES: "runners have too many starts without a reply",
    WaitReason.NO_RUNNER: "no runner that may get work can hold a task",
    WaitReason.NOT_GRANTING: "the leader has no recent proof that it leads",
    WaitReason.TRUNCATED: "not shown, as the answer is limited",
}


def as_text(reply) -> str:
    """Return the text for a `WhereReply`."""
    placement = reply.placement
    lines = [f"queue {reply.queue}, pool {reply.pool}, leader {reply.leader}"]
    if placement.phase is not None:
        phase = placement.phase.value
        lines.append(f"the job exists and is {phase}; a submission changes nothing")
        return "\n".join(lines)
    lines.append(_describe_admission(reply))
    if placement.workspace is not None:
        lines.append(_describe_workspace(placement.workspace))
    lines.append(f"objective: {placement.objective_s:.1f} s after the submission")
    for step in placement.steps:
        lines += _describe_step(step)
    if placement.later_steps:
        lines.append(f"{placement.later_steps} other steps would begin later")
    return "\n".join(lines)


def _describe_admission(reply):
    if reply.refusal is None:
        return f"admitted by {reply.process}"
    failure = reply.refusal
    retry = (
        ""
        if failure.retry_after_s is None
        else f" (again after {failure.retry_after_s:.0f} s)"
    )
    return (
        f"refused by {reply.process}, {failure.kind.value}: {failure.detail}{retry}; "
        "if it were accepted:"
    )


def _describe_workspace(use):
    return (
        f"workspace {use.name}: {use.quota_used:.0%} of its quota used, holds "
        f"{use.held:.1%} of the fleet, fair share {use.share:.1%}"
    )


def _describe_step(step):
    excess = ", beyond the rate of the workspace" if step.in_excess else ""
    lines = [
        f"step {step.step}, {step.tasks} tasks: behind {step.ahead} waiting steps of "
        f"its pool ({step.place} in all); level {step.level}, share level "
        f"{step.share_level}, {step.outlook.replace('_', ' ')}{excess}"
    ]
    if step.starts:
        places = ", ".join(f"{name} ({n})" for name, n in step.starts.items())
        lines.append(f"  starts now on {places}")
    if step.waits_for is not WaitReason.NONE:
        rest = step.tasks - sum(step.starts.values())
        lines.append(f"  {rest} tasks wait: {WAITS[step.waits_for]}")
    if step.asked:
        lines.append(f"  would ask about {', '.join(step.asked)}")
    if step.preempts_on:
        lines.append(
            f"  would stop {step.preempted} runs on {step.preempts_on} if it waits on"
        )
    lines.append(f"  {_describe_forecast(step)}")
    if step.candidates:
        lines.append(ROW.format("runner", "score", "speed", "free cpu", "excluded"))
    for row in step.candidates:
        reason = row.exclusion.value if row.exclusion else ""
        numbers = f"{row.score:.2f}", f"{row.speed:.2f}", row.free_cpu
        lines.append(ROW.format(row.runner, *numbers, reason).rstrip())
    if step.excluded:
        counts = ", ".join(f"{n} {reason}" for reason, n in step.excluded.items())
        lines.append(f"    excluded in all: {counts}")
    return lines


def _describe_forecast(step):
    if step.start_s is None:
        return "start not known"
    text = f"start in {step.start_s:.1f} s"
    return text if step.end_s is None else f"{text}, end in about {step.end_s:.1f} s"
