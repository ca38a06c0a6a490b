"""Decoding of the configuration that the operator stores in the platform."""

import msgspec
from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs import AdvicePolicy, CellConfiguration, Limits, Pool, Queue
from wasabipaddle.platform.decoding import (
    DECODING_ERRORS,
    ignore_report,
    integer,
    number,
    text,
)

__all__ = ["CONFIGURATION_KEY", "decode_configuration"]

CONFIGURATION_KEY = "op/config"
MS_PER_S = 1000


def decode_configuration(
    data, *, report=ignore_report
) -> Result[CellConfiguration, Failure]:
    """Return the configuration in a stored value.

    A queue or pool that is not valid is left out, and invalid limits are replaced by
    the default ones, so that the others come into force. A value that is not valid as
    a whole gives an `Err` of kind `invalid_document`.

    Parameters
    ----------
    report : callable
        Called with the reason for each part that is left out.
    """
    try:
        body = msgspec.json.decode(data)
        version = integer(body["version"], least=0)
        routes, services = body.get("routes") or [], body.get("services") or []
        if not isinstance(routes, list) or not isinstance(services, list):
            raise TypeError("the routes or services are not a list")
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
        )
    )


def _decode_valid(rows, decode, report):
    """Return the decoded rows without those that are not valid."""
    decoded = []
    for row in rows:
        try:
            decoded.append(decode(row))
        except DECODING_ERRORS as error:
            report(repr(error))
    return decoded


def _decode_limits(limits):
    return Limits(
        max_body_bytes=integer(limits.get("max_body_bytes", 262_144), least=0),
        idle_s=number(limits.get("idle_timeout_ms", 15_000), least=0) / MS_PER_S,
    )


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
    )


def _decode_advice_policy(advice):
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
