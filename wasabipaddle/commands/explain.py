"""Command `explain`: print the history of one job from structured logs."""

import pathlib

from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError
from wasabipaddle.logs import explain as explain_job
from wasabipaddle.logs import read_lines

__all__ = ["explain"]


def explain(job, files):
    """Print the log lines about a job in order of time.

    Each line starts with the seconds since the first line.

    Parameters
    ----------
    job : str
        Identifier of the job.
    files : sequence of str
        Log files of the processes.

    Raises
    ------
    WasabipaddleError
        If a file cannot be read or no log line mentions the job.
    """
    try:
        texts = [pathlib.Path(file).read_text(errors="replace") for file in files]
    except OSError as error:
        failure = Failure(kind=ErrorKind.INVALID_REQUEST, detail=str(error))
        raise WasabipaddleError(failure) from error
    lines = explain_job(job, read_lines(texts))
    if not lines:
        detail = f"no log line mentions the job {job}"
        raise WasabipaddleError(Failure(kind=ErrorKind.NOT_FOUND, detail=detail))
    for line in lines:
        print(f"{(line.ms - lines[0].ms) / 1000:8.3f}  {line}")
