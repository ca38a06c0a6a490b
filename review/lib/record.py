"""Record of what the stand-ins have sent, answered and run."""

import time


class Record:
    """List of events in order of time; written to `record.txt` at the end."""

    def __init__(self):
        self.began = time.monotonic()
        self.events = []

    def now(self):
        """Return the time since the start of the record in seconds."""
        return time.monotonic() - self.began

    def add(self, kind, **fields):
        """Append one event."""
        self.events.append((self.now(), kind, fields))

    def of(self, kind):
        """Yield time and fields of the events of one kind."""
        for at, found, fields in self.events:
            if found == kind:
                yield at, fields

    def write(self, path, lines=()):
        """Write all events, and the closing lines, to a file."""
        with open(path, "w", encoding="utf-8") as file:
            for at, kind, fields in self.events:
                text = " ".join(f"{name}={value}" for name, value in fields.items())
                file.write(f"{at:9.3f} {kind} {text}\n")
            for line in lines:
                file.write(line + "\n")


def intervals(record):
    """Return the runs on the runners as rows of task, run, runner, begin, end, how.

    The end of a run that is still there at the close of the record is None.
    """
    found = {}
    for at, kind, f in record.events:
        if kind == "begin":
            found[(f["task"], f["run"], f["runner"])] = [at, None, None]
        elif kind == "end":
            row = found.get((f["task"], f["run"], f["runner"]))
            if row is not None:
                row[1], row[2] = at, f["how"]
    return [(*key, *row) for key, row in found.items()]


def overlaps(rows, close):
    """Return pairs of runs of one task that were there at the same time."""
    by_task = {}
    for row in rows:
        by_task.setdefault(row[0], []).append(row)
    pairs = []
    for found in by_task.values():
        found.sort(key=lambda row: row[3])
        for first, second in zip(found, found[1:]):
            end = close if first[4] is None else first[4]
            if second[3] < end:
                last = min(end, close if second[4] is None else second[4])
                pairs.append((first, second, last - second[3]))
    return pairs
