"""History of a job or a wave of maintenance, from the logs of all processes."""

import collections
import re

import attrs
import msgspec

__all__ = ["LogLine", "explain", "read_lines"]

# Events that change what a process knows of the cell; they explain later decisions.
CONTEXT_EVENTS = frozenset(
    {
        "store_lost",
        "store_regained",
        "reign_began",
        "reign_ended",
        "dispatcher_recovered",
        "leader_replaced",
        "process_started",
        "process_draining",
    }
)
# Events that are relevant to a job if they concern one of its runners.
RUNNER_EVENTS = frozenset(
    {
        "runner_lost",
        "runner_regained",
        "runner_reborn",
        "runner_kept_quiet",
        "late_calls_fenced",
        "acknowledgement_misdirected",
        "runner_quarantined",
        "runner_draining",
        "runner_unlisted",
        "runner_left",
        "leases_expired",
    }
)
# Events of watches, and the watches of the dispatcher.
WATCH_EVENTS = frozenset({"watch_lost", "watch_listed"})
DISPATCHER_WATCHES = frozenset({"intake", "registry"})
WAVE_SUBJECT = re.compile(r"wave-[0-9]{1,15}")
HEADER_FIELDS = ("ms", "process", "event")
# Sentences that replace the fields of an event.
SENTENCES = {
    "waits_for_quota": "step {step} waits for the quota of its workspace, "
    "{used_percent}% used",
    "maintenance_waits": "wave {wave} waits, reason: {reason}, "
    "machines left: {machines_left}",
    "maintenance_late": "wave {wave} will end too late, reason: {reason}, "
    "machines left: {machines_left}",
}


@attrs.frozen(kw_only=True)
class LogLine:
    """One line of a structured log; `values` holds all fields of the line."""

    ms: int
    process: str
    event: str
    values: dict

    def __str__(self):
        sentence = SENTENCES.get(self.event)
        if sentence is not None:
            shown = sentence.format_map(collections.defaultdict(str, self.values))
        else:
            shown = " ".join(
                f"{key}={value}"
                for key, value in self.values.items()
                if key not in HEADER_FIELDS
            )
        return f"{self.process:24} {self.event:22} {shown}"


def read_lines(texts):
    """Return the structured lines of log files in order of time.

    Lines that hold no valid JSON object of the structured log are skipped.

    Parameters
    ----------
    texts : iterable of str
        Contents of the files; a line may have text before its JSON object.
    """
    lines = []
    for text in texts:
        for raw in text.splitlines():
            start = raw.find('{"ms":')
            if start < 0:
                continue
            try:
                values = msgspec.json.decode(raw[start:])
                line = LogLine(
                    ms=values["ms"],
                    process=values["process"],
                    event=values["event"],
                    values=values,
                )
            except (msgspec.MsgspecError, KeyError, TypeError):
                continue
            lines.append(line)
    return sorted(lines, key=lambda line: line.ms)


def explain(subject, lines):
    """Return the lines about a job or a wave of maintenance, and what explains them.

    For a job, the latter are lines between the first and the last line of the job that
    have an event in `CONTEXT_EVENTS`, one in `RUNNER_EVENTS` about a runner of the job,
    or one in `WATCH_EVENTS` about a watch of the dispatcher.

    Parameters
    ----------
    subject : str
        Identifier of the job, or `wave-N` for the wave with the number N. For a wave,
        the runs that were moved from its runners are shown too.
    lines : list of LogLine
        Lines of all processes in order of time.

    Returns
    -------
    list of LogLine
        Empty if no line is about the subject.
    """
    if WAVE_SUBJECT.fullmatch(subject):
        return _explain_wave(int(subject.removeprefix("wave-")), lines)
    job = subject
    job_lines = [line for line in lines if line.values.get("job") == job]
    if not job_lines:
        return []
    first, last = job_lines[0].ms, job_lines[-1].ms
    runners = {line.values["runner"] for line in job_lines if "runner" in line.values}
    return [
        line
        for line in lines
        if first <= line.ms <= last and _is_relevant(line, job, runners)
    ]


def _explain_wave(wave, lines):
    wave_lines = [line for line in lines if line.values.get("wave") == wave]
    runners = {line.values["runner"] for line in wave_lines if "runner" in line.values}
    return [
        line
        for line in lines
        if line.values.get("wave") == wave
        or (line.event == "run_evacuated" and line.values.get("runner") in runners)
    ]


def _is_relevant(line, job, runners):
    if line.values.get("job") == job or line.event in CONTEXT_EVENTS:
        return True
    if line.event in WATCH_EVENTS:
        return line.values.get("watch") in DISPATCHER_WATCHES
    return line.event in RUNNER_EVENTS and line.values.get("runner") in runners
