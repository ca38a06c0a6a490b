"""History of one job from the structured logs of all processes."""

import attrs
import msgspec

__all__ = ["LogLine", "explain", "read_lines"]

# Events that change what a process believes; they explain decisions near them.
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
RUNNER_EVENTS = frozenset(
    {
        "runner_lost",
        "runner_regained",
        "runner_reborn",
        "runner_quarantined",
        "runner_unlisted",
        "runner_left",
        "leases_expired",
    }
)
HEAD_FIELDS = ("ms", "process", "event")


@attrs.frozen(kw_only=True)
class LogLine:
    """One line of a structured log; `values` holds the other fields."""

    ms: int
    process: str
    event: str
    values: dict

    def __str__(self):
        shown = " ".join(
            f"{key}={value}"
            for key, value in self.values.items()
            if key not in HEAD_FIELDS
        )
        return f"{self.process:24} {self.event:22} {shown}"


def read_lines(texts):
    """Return the structured lines of log files; other text is passed over.

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


def explain(job, lines):
    """Return the lines on a job, with those on what it depended on meanwhile.

    Parameters
    ----------
    job : str
        Identifier of the job.
    lines : list of LogLine
        Lines of all processes in order of time.

    Returns
    -------
    list of LogLine
        Empty if no line is about the job.
    """
    own = [line for line in lines if line.values.get("job") == job]
    if not own:
        return []
    first, last = own[0].ms, own[-1].ms
    runners = {line.values["runner"] for line in own if "runner" in line.values}
    return [
        line
        for line in lines
        if first <= line.ms <= last and _matters(line, job, runners)
    ]


def _matters(line, job, runners):
    if line.values.get("job") == job or line.event in CONTEXT_EVENTS:
        return True
    return line.event in RUNNER_EVENTS and line.values.get("runner") in runners
