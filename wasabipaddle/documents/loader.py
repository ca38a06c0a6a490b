"""Loading of service documents from YAML."""

import pathlib

from result import Err, Ok, Result

from wasabipaddle.documents.model import ServiceDocument, ServiceKind
from wasabipaddle.documents.reader import Bounds, Reader, join_problems
from wasabipaddle.exceptions import ErrorKind, Failure

__all__ = ["load_document", "minimal_run_resources", "parse_document"]

MAX_DOCUMENT_BYTES = 16_384
DAY_S = 86_400
YEAR_S = 366 * DAY_S
MAX_TASKS = 10_000
MIN_GANG_TASKS = 2

BOUNDS = {
    ("Resources", "cpu_milli"): Bounds(high=1_000_000_000),
    ("Resources", "memory_mb"): Bounds(high=1_000_000_000),
    ("Resources", "accelerators"): Bounds(high=1_000_000),
    ("Quota", "slots"): Bounds(high=1_000_000),
    ("Share", "weight"): Bounds(low=1, high=10_000),
    ("Share", "guaranteed"): Bounds(high=1),
    ("RequestPolicy", "deadline_s"): Bounds(low=0.01, high=3_600),
    ("RequestPolicy", "retry_budget"): Bounds(high=1),
    ("RunPolicy", "tasks"): Bounds(low=1, high=MAX_TASKS),
    ("RunPolicy", "deadline_s"): Bounds(high=YEAR_S),
    ("RunPolicy", "expected_s"): Bounds(high=YEAR_S),
    ("RunPolicy", "max_attempts"): Bounds(low=1, high=100),
    ("RunPolicy", "max_preemptions"): Bounds(high=1_000),
    ("RunPolicy", "answer_retention_s"): Bounds(low=60, high=YEAR_S),
}
NAME_FIELDS = frozenset({"service", "team", "regions", "data_centres", "pool"})


def load_document(path) -> Result[ServiceDocument, Failure]:
    """Read a service document from a file.

    Returns
    -------
    result.Result
        The document, or an `Err` of kind `invalid_document` whose detail lists the
        first `MAX_REPORTED_PROBLEMS` problems, each with its file, line and key and
        with what is allowed.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        detail = f"{path}: {error.strerror}"
        return Err(Failure(kind=ErrorKind.INVALID_DOCUMENT, detail=detail))
    return parse_document(data, str(path))


def parse_document(text, source) -> Result[ServiceDocument, Failure]:
    """Read a service document from YAML text.

    Parameters
    ----------
    text : str or bytes
        YAML, UTF-8 if given as bytes.
    source : str
        File name, for error messages.

    Returns
    -------
    result.Result
        As for `load_document`.
    """
    reader = Reader(source=source, bounds=BOUNDS, names=NAME_FIELDS)
    document = None
    if len(text) > MAX_DOCUMENT_BYTES:
        reader.report(
            1, "", "the document is too long", f"at most {MAX_DOCUMENT_BYTES} bytes"
        )
    else:
        node = reader.compose(text)
        if node is not None:
            document = reader.read_class(ServiceDocument, node)
    if document is not None:
        _check_kind(document, reader)
        _check_amounts(document, reader)
    if reader.problems:
        detail = join_problems(reader.problems)
        return Err(Failure(kind=ErrorKind.INVALID_DOCUMENT, detail=detail))
    return Ok(document)


def minimal_run_resources(document):
    """Return the resources that one run must be able to hold at the same time.

    The tasks of a service or gang run at the same time. Those of a batch may run one
    after another, so its run needs the resources of one task.
    """
    together = document.kind in (ServiceKind.SERVICE, ServiceKind.GANG)
    tasks = document.run.tasks if together else 1
    needs = document.needs
    return type(needs)(
        cpu_milli=needs.cpu_milli * tasks,
        memory_mb=needs.memory_mb * tasks,
        accelerators=needs.accelerators * tasks,
    )


def _check_kind(document, reader):
    if document.kind is ServiceKind.REQUEST:
        if "run" in reader.lines:
            reader.report_at("run", "a request service has no runs", "the key request")
        if not document.placement.pool:
            reader.report_at("placement", "a request service needs an endpoint pool")
        if document.quota.slots < 1:
            reader.report_at(
                "quota", "a request service needs slots", "slots of at least 1"
            )
        return
    kind = document.kind.value
    if "request" in reader.lines:
        detail = f"a {kind} service answers no requests"
        reader.report_at("request", detail, "the key run")
    if document.placement.pool:
        detail = f"a {kind} service has no endpoint pool"
        reader.report_at("placement.pool", detail, "only for kind request")
    if document.needs.cpu_milli < 1 or document.needs.memory_mb < 1:
        detail = f"a {kind} service needs cpu and memory above 0"
        reader.report_at("needs", detail)
    if document.kind is ServiceKind.GANG and document.run.tasks < MIN_GANG_TASKS:
        detail = f"a gang has at least {MIN_GANG_TASKS} tasks"
        reader.report_at("run.tasks", detail, f"{MIN_GANG_TASKS} to {MAX_TASKS}")


def _check_amounts(document, reader):
    if document.kind is not ServiceKind.REQUEST:
        run_needs = minimal_run_resources(document)
        if not run_needs.fits(document.quota.resources):
            detail = "the quota is below the need of one run"
            allowed = (
                f"at least cpu {run_needs.cpu_milli}m, memory {run_needs.memory_mb}MB, "
                f"accelerators {run_needs.accelerators}"
            )
            reader.report_at("quota.resources", detail, allowed)
    run = document.run
    if 0 < run.deadline_s < run.expected_s:
        detail = "the deadline is shorter than the expected run time"
        reader.report_at("run.deadline", detail, f"at least {run.expected_s:g}s")
