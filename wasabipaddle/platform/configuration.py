"""Decoding of the configuration that the operator stores in the platform."""

from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs import (
    AdvicePolicy,
    Capacity,
    CellConfiguration,
    Limits,
    Pool,
    Queue,
    Workspace,
    digest_key,
)
from wasabipaddle.jobs.decoding import (
    DECODING_ERRORS,
    decode_json,
    drop_null,
    ignore_report,
    integer,
    number,
    text,
)

__all__ = ["CONFIGURATION_KEY", "decode_capacity", "decode_configuration"]

CONFIGURATION_KEY = "op/config"
MS_PER_S = 1000
# Longest key of a caller.
MAX_KEY_BYTES = 256


def decode_configuration(
    data, *, report=ignore_report
) -> Result[CellConfiguration, Failure]:
    """Return the configuration in a stored value.

    A queue, pool or workspace that is not valid is left out, and invalid limits are
    replaced by the default ones, so that the others come into force. A field that is
    null counts as absent. A value that is not valid as a whole gives an `Err` of kind
    `invalid_document`.

    Parameters
    ----------
    report : callable
        Called with the reason for each part that is left out.
    """
    try:
        body = decode_json(data)
        version = integer(body["version"], least=0)
        routes, services = body.get("routes") or [], body.get("services") or []
        tenants = body.get("tenants") or []
        if not all(isinstance(rows, list) for rows in (routes, services, tenants)):
            raise TypeError("the routes, services or tenants are not a list")
    except DECODING_ERRORS as error:
        detail = f"the configuration cannot be decoded: {type(error).__name__} {error}"
        return Err(Failure(kind=ErrorKind.INVALID_DOCUMENT, detail=detail))
    pools = _decode_valid(services, _decode_pool, report)
    limits = _decode_valid([body.get("limits") or {}], _decode_limits, report)
    return Ok(
        CellConfiguration(
            version=version,
            queues=tuple(_decode_valid(routes, _decode_queue, report)),
            pools={pool.name: pool for pool in pools},
            limits=limits[0] if limits else Limits(),
            workspaces=_decode_workspaces(tenants, report),
            requires_keys=bool(tenants),
        )
    )


def _decode_valid(rows, decode, report):
    """Return the decoded rows without those that are not valid."""
    decoded = []
    for row in rows:
        try:
            decoded.append(decode(drop_null(row)))
        except DECODING_ERRORS as error:
            report(repr(error))
    return decoded


def _decode_limits(limits):
    return Limits(
        max_body_bytes=integer(limits.get("max_body_bytes", 262_144), least=0),
        idle_s=number(limits.get("idle_timeout_ms", 15_000), least=0) / MS_PER_S,
        max_header_bytes=integer(limits.get("max_header_bytes", 16_384), least=0),
        header_s=number(limits.get("header_timeout_ms", 3_000), least=0) / MS_PER_S,
    )


def _decode_workspaces(rows, report):
    """Return the workspaces by name, without those that are not valid.

    Of two workspaces with the same name or a common key, the first one holds: a key
    must not act for two workspaces.
    """
    workspaces, digests = {}, set()
    for row in rows:
        try:
            workspace = _decode_workspace(drop_null(row))
        except DECODING_ERRORS as error:
            report(f"workspace {_name_of(row)}: {type(error).__name__}")
            continue
        if workspace.name in workspaces:
            report(f"workspace {workspace.name!r} occurs twice")
        elif not digests.isdisjoint(workspace.key_digests):
            report(f"workspace {workspace.name!r} has a key of another one")
        else:
            workspaces[workspace.name] = workspace
            digests |= workspace.key_digests
    return workspaces


def _name_of(row):
    """Return the name in an invalid row for a report, which must not contain keys."""
    try:
        return repr(text(row["name"]))
    except DECODING_ERRORS:
        return "without a name"


def _decode_workspace(row):
    keys, cap = row.get("api_keys") or [], row.get("cap") or {}
    if not isinstance(keys, list) or not all(map(_is_key, keys)):
        raise TypeError("the keys are not a list of strings")
    return Workspace(
        name=text(row["name"]),
        key_digests=frozenset(map(digest_key, keys)),
        weight=number(row.get("weight", 1.0), least=0),
        quota=decode_capacity({name: n or 0 for name, n in cap.items()}),
    )


def decode_capacity(body) -> Capacity:
    """Return a capacity; raise one of `DECODING_ERRORS` if it is malformed."""
    return Capacity(
        cpu=integer(body.get("cpu", 0), least=0),
        memory_mb=integer(body.get("mem_mb", 0), least=0),
        gpus=integer(body.get("gpu", 0), least=0),
    )


def _is_key(key):
    return isinstance(key, str) and 0 < len(key.encode()) <= MAX_KEY_BYTES


def _decode_queue(route):
    advice = route.get("advice")
    return Queue(
        name=text(route["name"]),
        host=text(route.get("host", ""), empty=True),
        prefix=text(route["prefix"], empty=True),
        pool=text(route.get("service", ""), empty=True),
        priority=integer(route.get("priority", 0)),
        max_attempts=integer(route.get("max_attempts", 1), least=0) or 1,
        stretch=number(route.get("stretch", 1.0), least=0) or 1.0,
        target_s=number(route.get("target_duration_ms") or 0, least=0) / MS_PER_S,
        advice=_decode_advice_policy(advice) if advice else None,
        public=bool(route.get("public")),
    )


def _decode_advice_policy(advice):
    advice = drop_null(advice)
    return AdvicePolicy(
        base_s=number(advice.get("decide_ms", 0), least=0) / MS_PER_S,
        per_runner_s=number(advice.get("each_ms", 0), least=0) / MS_PER_S,
        valid_s=number(advice.get("valid_ms", 0), least=0) / MS_PER_S,
    )


def _decode_pool(pool):
    return Pool(
        name=text(pool["name"]),
        enforces_capacity=bool(pool.get("enforces_capacity")),
        spare=bool(pool.get("spare")),
    )
